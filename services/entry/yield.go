package entry

import (
	"context"
	"time"

	"banyanwalk/infra/rpc"
)

const (
	// yieldQueue bounds the requests whose targets wait to be told of.
	yieldQueue = 256
	// yieldPause lets requests that come together share a message.
	yieldPause = 2 * time.Millisecond
	// yieldTimeout bounds one message; a later one would be of no use.
	yieldTimeout = 300 * time.Millisecond
)

// yields tells the runner of batch items where online requests have come to
// targets that are full of them.
type yields struct {
	targets chan string
	jobs    *jobClient
}

func newYields(jobs *jobClient) *yields {
	return &yields{targets: make(chan string, yieldQueue), jobs: jobs}
}

// ask asks for a slot of a target. It never blocks: the runner also sees full
// targets in the reports, if later.
func (y *yields) ask(target string) {
	select {
	case y.targets <- target:
	default:
	}
}

// run sends what is asked for until ctx ends.
func (y *yields) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-y.targets:
			time.Sleep(yieldPause)
			y.send(ctx, y.collect(target))
		}
	}
}

// collect adds up what has been asked for until now.
func (y *yields) collect(first string) *rpc.JobYield {
	message := &rpc.JobYield{Requests: map[string]int{first: 1}}
	for {
		select {
		case target := <-y.targets:
			message.Requests[target]++
		default:
			return message
		}
	}
}

func (y *yields) send(ctx context.Context, message *rpc.JobYield) {
	hosts := y.jobs.follower.Stores()
	if len(hosts) == 0 || !hosts[0].Leads {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	// An error leaves the runner to what it sees by itself.
	_ = y.jobs.callOnce(bounded, yieldTimeout, hosts[0].ID, rpc.MethodJobYield, message, &rpc.Ack{})
}
