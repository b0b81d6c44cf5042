// Command reviewkit runs the scripts of the review: it starts a small site of the project's
// own programs on loopback addresses, with stand-ins for clients, engines and the operator.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(s *site, trouble bool) (int, error){
	"smuggled":  smuggled,
	"multipart": multipartBody,
	"public":    publicBatch,
	"burst":     burstMemory,
	"queue":     queueMemory,
	"texts":     largeTexts,
	"stale":     staleOrder,
	"foreign":   foreignReport,
	"gateway":   gatewayBodies,
	"routes":    newRoutes,
	"unheard":   unheardChange,
}

func main() { os.Exit(mainStatus()) }

func mainStatus() int {
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit [-record FILE] CASE")
		return cannotRun
	}
	r := newRecord()
	defer r.write(*recordPath)
	s, err := newSite(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, "site:", err)
		return cannotRun
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %t", flag.Arg(0), trouble)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- result{cannotRun, fmt.Errorf("panic: %v", p)}
			}
		}()
		status, err := run(s, trouble)
		done <- result{status, err}
	}()
	select {
	case got := <-done:
		if got.err != nil {
			r.add("could not run: %v", got.err)
			fmt.Fprintln(os.Stderr, "could not run:", got.err)
			return cannotRun
		}
		verdict := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN"}[got.status]
		r.add("%s", verdict)
		fmt.Println(verdict)
		return got.status
	case <-stop:
	case <-time.After(112 * time.Second):
		r.add("out of time")
		fmt.Fprintln(os.Stderr, "out of time")
	}
	return cannotRun
}
