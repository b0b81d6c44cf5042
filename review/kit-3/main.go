// Command review-3 plays the cases of the third review: it starts a small deployment on
// loopback addresses, with stand-ins for clients, engines and the operator.
//
//	review-3 CASE RECORD   exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(*fleet, bool) (bool, error), path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{start: time.Now(), file: file}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	f, err := newFleet(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(f, trouble)
		done <- result{broken, err}
	}()
	select {
	case <-interrupted:
		return 2
	case <-time.After(115 * time.Second):
		rec.line("the case took too long")
		return 2
	case r := <-done:
		switch {
		case r.err != nil:
			rec.line("the case could not run: %v", r.err)
			fmt.Println("could not run:", r.err)
			return 2
		case r.broken:
			rec.line("RESULT: the rule was broken")
			fmt.Println("broken")
			return 1
		}
		rec.line("RESULT: the rule held")
		fmt.Println("held")
		return 0
	}
}

// startSmall starts a deployment with three edge machines, three storage machines and
// engines, puts a first config in force, and waits until the gateways are ready.
func startSmall(f *fleet, lm, app func() handler) error {
	for i, zone := range zones {
		f.addEdge(1+i, zone)
		f.addStore(11+i, zone)
	}
	if err := f.start(); err != nil {
		return err
	}
	for i := range 6 {
		if err := f.addEngine(21+i, "bell-lm", zones[i%3], 8, lm()); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := f.addEngine(31+i, "dispatch", zones[i%3], 6, app()); err != nil {
			return err
		}
	}
	var err error
	for range 5 {
		if err = f.order("config 1", 0, "/v1/configuration/replace", config(1)); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}
