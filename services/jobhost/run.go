package jobhost

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/jobs"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/core/streams"
	"banyanwalk/services/targetcall"
)

// Causes with which a run's context is cancelled.
var (
	errItemClosed   = errors.New("the item is not open any more")
	errPreempted    = errors.New("an online request needs the slot")
	errNotLeading   = errors.New("this host does not lead any more")
	errTargetSilent = errors.New("the target has fallen silent")
)

// silenceTimeout is how long a target may send no event before the item resumes
// at another one. Events normally come every 20 ms; a target that is several
// times slower and queues the item still sends one within a second.
const silenceTimeout = 3 * time.Second

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 64 << 10

// itemRun is one execution of an item at one target.
type itemRun struct {
	runner         *runner
	ref            jobs.ItemRef
	target         *roster.Record
	request        *targetcall.Request
	parts          []quarantine.Ref // shared parts of its prompt; nil while no part is suspected
	progress       *progress
	startedAt      time.Time
	cancel         context.CancelCauseFunc
	route          string
	tokens         int64
	held           int64 // tokens that the target holds
	fill           int   // items and requests at the target at the start, including this one
	timing         targetcall.Timing
	pacePercent    int // that the target named in its response; 0: none
	maxAttempts    int
	startEvent     int64     // last event of the item before this run
	firstSeen      time.Time // when this host first saw the job
	due            time.Time // by when the item is to be done
	loggedFailures int       // failed attempts that the replicated log holds
	completed      bool      // whether the complete response arrived
	preempted      bool      // whether it was cancelled for an online request; guarded by runner.mu
}

// execute runs the item and records its result, or schedules it to run again.
func (i *itemRun) execute(ctx context.Context) {
	defer i.cancel(nil)
	r := i.runner
	from := i.progress.lastEventID()
	i.startEvent = from
	i.request.LastEventID = from
	if from > 0 {
		r.resumed.Inc(1)
	}
	status, err := i.readResponse(ctx)
	cause := context.Cause(ctx)
	i.observe(status, err, cause)
	r.log.Info("item_ran", "job", i.ref.Job, "item", i.ref.Item, "request", i.request.ID, "target", i.target.ID, "version", i.target.Version,
		"from_event", from, "to_event", i.progress.lastEventID(), "status", status, "took_ms", time.Since(i.startedAt).Milliseconds(),
		"error", err, "cause", cause)
	switch {
	case err == nil:
		i.completed = true
		i.logDone()
		r.server.broker.noteResponse(time.Now(), i.target.ID, false)
		r.trials.completed(i.parts)
		r.follower.Targets.Succeeded(i.target.ID)
		if run := i.timing.Report(i.target, i.fill, i.pacePercent); run != nil {
			r.follower.Targets.ObserveRun(time.Now(), *run)
		}
		r.results.addFinished(jobs.Finished{ItemRef: i.ref, State: jobs.Completed, Text: i.progress.fullText()})
		r.finishRun(i, false)
	case errors.Is(cause, errTargetSilent):
		i.retryElsewhere(err)
	case cause != nil:
		if errors.Is(cause, errPreempted) {
			i.progress.yielded++
		}
		r.finishRun(i, !errors.Is(cause, errItemClosed))
	case status == http.StatusUnprocessableEntity:
		r.abandon(i.ref, "the target rejected it for good")
		r.finishRun(i, false)
	case status == http.StatusInternalServerError:
		i.recordFailure()
	default:
		i.retryElsewhere(err)
	}
}

// logDone logs what the time of a completed item went to.
func (i *itemRun) logDone() {
	now := time.Now()
	ran := i.progress.runTime + now.Sub(i.startedAt)
	age := now.Sub(i.firstSeen)
	i.runner.log.Info("item_done", "job", i.ref.Job, "item", i.ref.Item, "request", i.request.ID, "age_ms", age.Milliseconds(), "ran_ms", ran.Milliseconds(),
		"waited_ms", (age - ran).Milliseconds(), "due_in_ms", i.due.Sub(now).Milliseconds(), "runs", i.progress.runs+1,
		"yielded", i.progress.yielded, "refused", i.progress.refused, "broken", i.progress.broken)
}

// recordFailure counts a failed attempt, and abandons the item after the last
// one.
func (i *itemRun) recordFailure() {
	r := i.runner
	r.server.broker.noteResponse(time.Now(), i.target.ID, true)
	i.progress.attempts++
	if max(i.progress.attempts, i.loggedFailures+1) >= i.maxAttempts {
		r.abandon(i.ref, "all attempts failed")
		r.finishRun(i, false)
		return
	}
	i.progress.notBefore = time.Now().Add(retryDelay)
	r.results.addFailure(i.ref)
	r.finishRun(i, true)
}

// retryElsewhere schedules the item to resume after its last event, and marks the
// target as failed unless it was only busy. This does not count as a failed attempt:
// the item may be sound.
func (i *itemRun) retryElsewhere(err error) {
	r := i.runner
	var failure *targetcall.Failure
	i.progress.refusedBy = ""
	if errors.As(err, &failure) && failure.IsBusy() {
		i.progress.refusedBy = i.target.ID
		i.progress.refused++
	} else {
		i.progress.broken++
		r.follower.Targets.Failed(time.Now(), i.target.ID)
	}
	i.progress.notBefore = time.Now().Add(i.progress.nextRetryDelay(i.startEvent))
	r.finishRun(i, true)
}

// readResponse sends the request and reads the events into the item's progress. It
// returns the HTTP status, or 0 if there is none.
func (i *itemRun) readResponse(ctx context.Context) (status int, err error) {
	silenceTimer := time.AfterFunc(silenceTimeout, func() { i.cancel(errTargetSilent) })
	defer silenceTimer.Stop()
	i.timing.Begin(time.Now())
	response, err := i.runner.targetClient.Do(ctx, i.target, i.request)
	if err != nil {
		var failure *targetcall.Failure
		if errors.As(err, &failure) {
			status = failure.Status
		}
		return status, err
	}
	defer response.Close()
	i.pacePercent = response.Load.PacePercent
	if response.Status != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response, maxErrorBytes)) // only the status counts
		return response.Status, errors.Newf("status %d", response.Status)
	}
	if i.startEvent > 0 && !response.IsEventStream() {
		return 0, errors.Newf("the resumed text was answered with %q", response.Header.Get("Content-Type"))
	}
	events := targetcall.NewEventReader(response)
	origin := streams.Origin{Service: i.target.Service, Version: i.target.Version}
	for {
		waitedSince := time.Now()
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return response.Status, nil
		}
		if err != nil {
			return 0, err
		}
		silenceTimer.Reset(silenceTimeout)
		i.timing.Event(waitedSince, time.Now())
		i.runner.server.load.events.Add(1)
		if err := i.progress.appendEvent(event, origin); err != nil {
			return 0, err
		}
	}
}
