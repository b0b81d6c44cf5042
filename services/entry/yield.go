package entry

import (
	"context"
	"time"

	"banyanwalk/infra/rpc"
)

const (
	// preemptQueue bounds the queued preemption requests.
	preemptQueue = 256
	// preemptBatchDelay lets preemption requests that arrive together share a
	// message.
	preemptBatchDelay = 2 * time.Millisecond
	// preemptTimeout bounds one message; a later one would be of no use.
	preemptTimeout = 300 * time.Millisecond
)

// preemptions tells the runner of batch items which targets have received online
// requests while full of batch items.
type preemptions struct {
	targets chan string
	jobs    *jobClient
}

func newPreemptions(jobs *jobClient) *preemptions {
	return &preemptions{targets: make(chan string, preemptQueue), jobs: jobs}
}

// request asks the runner to free a slot at a target. It never blocks and drops
// the request if the queue is full: the runner also sees full targets in the load
// reports, only later.
func (p *preemptions) request(target string) {
	select {
	case p.targets <- target:
	default:
	}
}

// run sends queued requests until ctx ends.
func (p *preemptions) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-p.targets:
			time.Sleep(preemptBatchDelay)
			p.send(ctx, p.collect(target))
		}
	}
}

// collect sums up the queued requests by target.
func (p *preemptions) collect(first string) *rpc.JobPreempt {
	message := &rpc.JobPreempt{Requests: map[string]int{first: 1}}
	for {
		select {
		case target := <-p.targets:
			message.Requests[target]++
		default:
			return message
		}
	}
}

func (p *preemptions) send(ctx context.Context, message *rpc.JobPreempt) {
	hosts := p.jobs.follower.StorageHosts()
	if len(hosts) == 0 || !hosts[0].Leads {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, preemptTimeout)
	defer cancel()
	// On an error, the runner relies on the load reports.
	_ = p.jobs.callOnce(bounded, preemptTimeout, hosts[0].ID, rpc.MethodJobPreempt, message, &rpc.Ack{})
}
