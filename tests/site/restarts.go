package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/infra/pause"
	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// defaultRestartDelay is how long a crashed target is down.
const defaultRestartDelay = time.Second

// RestartingTargets are stub targets that start again at their address, under a
// new id, after a request has ended them.
type RestartingTargets struct {
	site      *Site
	service   string
	slots     int
	behaviour func(id string) standin.Behaviour
	stop      context.CancelFunc
	wg        conc.WaitGroup

	mu           sync.Mutex
	restartDelay time.Duration
	silent       bool              // crashed targets accept connections and send nothing
	all          []*standin.Target // every incarnation
	latest       []*standin.Target // by number
	errors       []error           // of restarts
}

// AddRestartingTargets starts count targets whose behaviour is chosen by request
// id. Stop must be called before Close of the site.
func (s *Site) AddRestartingTargets(count int, service string, slots int, behaviour func(id string) standin.Behaviour) *RestartingTargets {
	ctx, stop := context.WithCancel(context.Background())
	r := &RestartingTargets{site: s, service: service, slots: slots, behaviour: behaviour, stop: stop,
		latest: make([]*standin.Target, count), restartDelay: defaultRestartDelay}
	for i := range count {
		r.wg.Go(func() { r.run(ctx, i) })
	}
	return r
}

// Stop ends the restarts. The targets that run are stopped by Close of the site.
func (r *RestartingTargets) Stop() {
	r.stop()
	r.wg.Wait()
}

// run starts one target again and again until ctx ends.
func (r *RestartingTargets) run(ctx context.Context, number int) {
	addr := "127.0.0.1:0"
	for incarnation := 0; ctx.Err() == nil; incarnation++ {
		target, err := standin.NewTargetAt(fmt.Sprintf("t%d-%d", number, incarnation), addr, platform.HeaderNames(), standin.Behaviour{})
		if err != nil {
			r.mu.Lock()
			r.errors = append(r.errors, err)
			r.mu.Unlock()
			return
		}
		target.SetBehaviour(r.behaviour)
		addr = target.Addr
		r.mu.Lock()
		r.all = append(r.all, target)
		r.latest[number] = target
		r.mu.Unlock()
		reporter := r.site.addTarget(target, addr, r.service, r.slots, defaultVersion)
		select {
		case <-ctx.Done():
			return
		case <-target.Crashed():
		}
		reporter.close()
		if !r.stayDown(ctx, addr) {
			return
		}
	}
}

// stayDown waits until a crashed target is to start again, and reports whether it is.
func (r *RestartingTargets) stayDown(ctx context.Context, addr string) bool {
	r.mu.Lock()
	delay, silent := r.restartDelay, r.silent
	r.mu.Unlock()
	if silent {
		if l, err := net.Listen("tcp", addr); err == nil {
			var accepting conc.WaitGroup
			accepting.Go(func() { acceptSilently(l) })
			defer accepting.Wait()
			defer l.Close()
		}
	}
	return pause.For(ctx, delay)
}

// acceptSilently accepts connections until the listener is closed, and then closes
// them.
func acceptSilently(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
	}
}

// SetRestartDelay sets how long a crashed target is down from now on.
func (r *RestartingTargets) SetRestartDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restartDelay = delay
}

// StaySilent makes crashed targets accept connections without an answer from now on.
func (r *RestartingTargets) StaySilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
}

// Crash ends the targets with the given numbers, all at once.
func (r *RestartingTargets) Crash(numbers ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, number := range numbers {
		if target := r.latest[number]; target != nil {
			target.Crash()
		}
	}
}

// Runs returns the runs at all incarnations, and the errors of restarts.
func (r *RestartingTargets) Runs() ([]standin.Run, []error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []standin.Run
	for _, target := range r.all {
		runs = append(runs, target.Runs()...)
	}
	return runs, r.errors
}
