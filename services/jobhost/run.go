package jobhost

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/jobs"
	"banyanwalk/core/roster"
	"banyanwalk/services/targetcall"
)

// Why a run was ended from outside.
var (
	errClosed     = errors.New("the item is not open any more")
	errYielded    = errors.New("an online request needs the slot")
	errNotLeading = errors.New("this host does not lead any more")
	errSilent     = errors.New("the target has fallen silent")
)

// silenceTimeout is after how long without an event an item goes on elsewhere.
// Events come every 20 ms, and within a second also from a target that is
// several times slower and makes the item wait for its slot.
const silenceTimeout = 3 * time.Second

// maxErrorBytes of a failed answer are read.
const maxErrorBytes = 64 << 10

// run is one item at one target.
type run struct {
	runner      *runner
	ref         jobs.ItemRef
	target      *roster.Record
	request     *targetcall.Request
	progress    *progress
	began       time.Time
	cancel      context.CancelCauseFunc
	tokens      int64
	maxAttempts int
	failures    int  // that the log holds
	whole       bool // the answer came whole
	ending      bool // it has been told to yield; guarded by the runner
}

// execute runs the item and decides what becomes of it.
func (u *run) execute(ctx context.Context) {
	defer u.cancel(nil)
	r := u.runner
	from := u.progress.end()
	u.request.LastEventID = from
	if from > 0 {
		r.resumed.Inc(1)
	}
	status, err := u.exchange(ctx)
	cause := context.Cause(ctx)
	r.log.Info("item_ran", "job", u.ref.Job, "item", u.ref.Item, "request", u.request.ID, "target", u.target.ID,
		"from_event", from, "to_event", u.progress.end(), "status", status, "took_ms", time.Since(u.began).Milliseconds(),
		"error", err, "cause", cause)
	switch {
	case err == nil:
		u.whole = true
		r.follower.Targets.Succeeded(u.target.ID)
		r.results.add(jobs.Finished{ItemRef: u.ref, State: jobs.Completed, Text: u.progress.whole()})
		r.ended(u, false)
	case errors.Is(cause, errSilent):
		u.broken(err)
	case cause != nil:
		r.ended(u, !errors.Is(cause, errClosed))
	case status == http.StatusUnprocessableEntity:
		r.giveUp(u.ref, "the target can never run it")
		r.ended(u, false)
	case status >= http.StatusBadRequest && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
		u.failed()
	default:
		u.broken(err)
	}
}

// failed counts an answer that says that the item failed.
func (u *run) failed() {
	r := u.runner
	u.progress.attempts++
	if max(u.progress.attempts, u.failures+1) >= u.maxAttempts {
		r.giveUp(u.ref, "all attempts failed")
		r.ended(u, false)
		return
	}
	u.progress.notBefore = time.Now().Add(retryPause)
	r.results.failed(u.ref)
	r.ended(u, true)
}

// broken lets the item go on elsewhere after its last event.
func (u *run) broken(err error) {
	r := u.runner
	var failure *targetcall.Failure
	if !errors.As(err, &failure) || !failure.IsBusy() {
		r.follower.Targets.Failed(time.Now(), u.target.ID)
	}
	u.progress.notBefore = time.Now().Add(retryPause)
	r.ended(u, true)
}

// exchange reads the events of the item into its progress. The status is that
// of the answer, or 0.
func (u *run) exchange(ctx context.Context) (status int, err error) {
	silence := time.AfterFunc(silenceTimeout, func() { u.cancel(errSilent) })
	defer silence.Stop()
	answer, err := u.runner.caller.Do(ctx, u.target, u.request)
	if err != nil {
		var failure *targetcall.Failure
		if errors.As(err, &failure) {
			status = failure.Status
		}
		return status, err
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxErrorBytes)) // only the status counts
		return answer.Status, errors.Newf("status %d", answer.Status)
	}
	events := targetcall.NewEventReader(answer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return answer.Status, nil
		}
		if err != nil {
			return 0, err
		}
		silence.Reset(silenceTimeout)
		if err := u.progress.add(event); err != nil {
			return 0, err
		}
	}
}
