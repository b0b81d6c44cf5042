// Package crashreport tells the control hosts of a site which requests may have
// crashed targets, and which suspects ran to a complete response.
package crashreport

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
)

const (
	// reportQueue bounds the reports waiting to be sent.
	reportQueue = 1024
	// reportBatchDelay lets reports that occur together share a message.
	reportBatchDelay = 5 * time.Millisecond
	// lastReportTimeout bounds the last report of a process that stops.
	lastReportTimeout   = 150 * time.Millisecond
	reportTimeout       = 600 * time.Millisecond // of one call of a control host
	reportRetryInterval = 50 * time.Millisecond
	trialTimeout        = 400 * time.Millisecond // of a question whether a suspect may run
	// reportExpiry is how long a report is retried.
	reportExpiry = 30 * time.Second
)

// Reporter queues reports and sends them. It is safe for concurrent use.
type Reporter struct {
	follower *follow.Follower
	pool     *wire.Pool
	log      *telemetry.Log
	dropped  metrics.Counter
	queue    chan runsReport
}

// runsReport is one queued report; one of its fields is set.
type runsReport struct {
	crash     *catalog.CrashReport
	completed []quarantine.Ref
	ended     *catalog.EndedTrial
}

// New returns a reporter that queues reports until Run. dropped counts the reports
// that found the queue full.
func New(f *follow.Follower, log *telemetry.Log, dropped metrics.Counter) *Reporter {
	return &Reporter{follower: f, pool: wire.NewPool(nil), log: log, queue: make(chan runsReport, reportQueue), dropped: dropped}
}

// Crashed queues a report on runs that ended with the crash of their target.
func (r *Reporter) Crashed(report *catalog.CrashReport) { r.add(runsReport{crash: report}) }

// Completed queues a report on suspects that ran to a complete response.
func (r *Reporter) Completed(refs []quarantine.Ref) { r.add(runsReport{completed: refs}) }

// TrialEnded queues a report on a trial that showed nothing.
func (r *Reporter) TrialEnded(ended *catalog.EndedTrial) { r.add(runsReport{ended: ended}) }

// add queues a report. It never blocks; if the queue is full, it drops the report
// and counts it.
func (r *Reporter) add(report runsReport) {
	select {
	case r.queue <- report:
	default:
		r.dropped.Inc(1)
	}
}

// Run sends queued reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	defer r.pool.Close()
	for {
		select {
		case <-ctx.Done():
			if report := r.Take(); report != nil {
				r.sendLast(ctx, report)
			}
			return
		case first := <-r.queue:
			pause.For(ctx, reportBatchDelay)
			report := r.collect(first)
			if !r.send(ctx, report) && ctx.Err() != nil {
				r.sendLast(ctx, report)
			}
		}
	}
}

// sendLast sends a report after ctx has ended, while the process still has a moment.
func (r *Reporter) sendLast(ctx context.Context, report *rpc.RunsReport) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastReportTimeout)
	defer cancel()
	r.send(bounded, report)
}

// Take removes the queued reports and returns them joined, or nil if there are none.
func (r *Reporter) Take() *rpc.RunsReport {
	select {
	case first := <-r.queue:
		return r.collect(first)
	default:
		return nil
	}
}

// collect joins the queued reports, those of one crash in one entry.
func (r *Reporter) collect(next runsReport) *rpc.RunsReport {
	report := &rpc.RunsReport{Member: r.follower.Name()}
	positions := make(map[quarantine.Crash]int)
	for {
		report.Completed = append(report.Completed, next.completed...)
		if next.ended != nil {
			report.Ended = append(report.Ended, *next.ended)
		}
		if c := next.crash; c != nil {
			at, found := positions[c.Crash]
			if !found {
				at = len(report.Crashes)
				positions[c.Crash] = at
				report.Crashes = append(report.Crashes, catalog.CrashReport{Crash: c.Crash})
			}
			report.Crashes[at].Runs = append(report.Crashes[at].Runs, c.Runs...)
		}
		select {
		case next = <-r.queue:
		default:
			return report
		}
	}
}

// send sends a report to one control host after another until one has logged it, which it
// reports.
func (r *Reporter) send(ctx context.Context, report *rpc.RunsReport) bool {
	ctx, cancel := context.WithTimeout(ctx, reportExpiry)
	defer cancel()
	for {
		err := r.sendOnce(ctx, report)
		if err == nil {
			return true
		}
		if !pause.For(ctx, reportRetryInterval) {
			r.log.Error("crash_report_failed", "crashes", len(report.Crashes), "completed", len(report.Completed), "ended", len(report.Ended), "error", err)
			return false
		}
	}
}

// BeginTrial asks control whether a suspect may run now. An error means that no control
// host answered within trialTimeout.
func (r *Reporter) BeginTrial(ctx context.Context, request *rpc.TrialRequest) (*rpc.TrialGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	err := error(outcome.New(outcome.Unreachable, outcome.NotRun, "no control host is known"))
	for _, host := range r.follower.ControlHosts() {
		var grant rpc.TrialGrant
		if err = r.pool.Call(ctx, host, rpc.MethodBeginTrial, request, &grant); err == nil {
			return &grant, nil
		}
	}
	return nil, err
}

func (r *Reporter) sendOnce(ctx context.Context, report *rpc.RunsReport) error {
	err := error(outcome.New(outcome.Unreachable, outcome.NotRun, "no control host is known"))
	for _, host := range r.follower.ControlHosts() {
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		err = r.pool.Call(bounded, host, rpc.MethodReportRuns, report, &rpc.Ack{})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
