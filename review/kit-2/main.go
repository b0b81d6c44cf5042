// Command review-kit-2 runs the cases of review 2 that are scripts. It starts the
// programs of the deploy file as processes on loopback addresses, with stand-ins for
// clients, engines and the operator, and judges only what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(*site) (int, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-kit-2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(cannotRun)
	}
	os.Exit(play(run, os.Args[2]))
}

// play runs one case, and ends every process that it has started.
func play(run func(*site) (int, error), folder string) (code int) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.Close()
	s := newSite(dir, record)
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		_ = os.RemoveAll(dir)
		os.Exit(cannotRun)
	}()
	time.AfterFunc(110*time.Second, func() {
		s.note("the case takes too long")
		s.close()
		_ = os.RemoveAll(dir)
		os.Exit(cannotRun)
	})
	defer func() {
		if p := recover(); p != nil {
			s.note("panic: %v\n%s", p, debug.Stack())
			code = cannotRun
		}
	}()
	s.note("trouble: %t", s.trouble)
	code, err = run(s)
	if err != nil {
		s.note("the case could not run: %v", err)
		code = cannotRun
	}
	verdict := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", cannotRun: "the case could not run"}[code]
	s.note("result: %s", verdict)
	fmt.Println(verdict)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	return code
}
