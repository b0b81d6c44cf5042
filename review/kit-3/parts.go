package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = parts }

const (
	deadlyPart  = "dead0000"
	engineBack  = 3 * time.Second // after a crash
	promptParts = 40
)

// prompt returns a prompt of a number of parts, the second of which is given. The last one
// belongs to the request.
func prompt(second string, count, request int) string {
	entries := []string{"5c1e07a2:40", second + ":10"}
	for n := len(entries); n < count-1; n++ {
		entries = append(entries, fmt.Sprintf("%08x:5", 0x91bd0000+n))
	}
	return strings.Join(append(entries, fmt.Sprintf("%08x:20", 0xe4400000+request)), ",")
}

// mortal returns the handler of an engine that crashes when it begins to write an answer on
// the deadly part.
func mortal() handler {
	sound := streamOf(20, 20*time.Millisecond, 20)
	return func(e *engine, w http.ResponseWriter, r *http.Request, id string) {
		if strings.Contains(r.Header.Get("X-Banyanwalk-Prompt-Prefix"), deadlyPart) {
			time.Sleep(20 * time.Millisecond)
			e.fleet.rec.line("engine: %s runs %s, which has the deadly part", e.id, id)
			e.crash(engineBack)
			panic(http.ErrAbortHandler)
		}
		sound(e, w, r, id)
	}
}

// parts has a part of prompts crash each engine that begins to write an answer on it. It
// stands early in prompts of many parts. No two requests are alike; sound ones share their
// caller and their other parts.
func parts(f *fleet, trouble bool) (bool, error) {
	count := promptParts
	if v, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		count = v
	}
	if err := startSmall(f, mortal, func() handler { return plain }); err != nil {
		return false, err
	}
	var mu sync.Mutex
	type sent struct {
		at     time.Time
		status int
	}
	sound, deadly := map[string]sent{}, map[string]sent{}
	start := time.Now()
	var sending sync.WaitGroup
	send := func(into map[string]sent, id, second string, number int) {
		g := f.role("gateway")[number%3]
		sending.Add(1)
		go func() {
			defer sending.Done()
			at := time.Now()
			a := f.send(g, http.MethodPost, "/ask/"+id, id, []byte("question "+id), 5*time.Second, map[string]string{"X-Banyanwalk-Model": "m",
				"X-Banyanwalk-Token-Usage": "300,20", "X-Banyanwalk-Prompt-Prefix": prompt(second, count, number)})
			f.rec.line("client: %s at %s: status %d, error %v", id, g.name, a.status, a.err)
			if a.err != nil {
				a.status = 0
			}
			mu.Lock()
			into[id] = sent{at: at, status: a.status}
			mu.Unlock()
		}()
	}
	const seconds, calm = 45, 8
	for n := range seconds * 20 {
		send(sound, fmt.Sprintf("sound-%d", n), "0badcafe", n)
		if trouble && n >= calm*20 && n%10 == 0 {
			send(deadly, fmt.Sprintf("deadly-%d", n), deadlyPart, n)
		}
		time.Sleep(50 * time.Millisecond)
	}
	sending.Wait()
	var fifth time.Time
	ran := f.ran("", start)
	crashes, late := 0, 0
	for _, e := range sortedByTime(ran) {
		if strings.HasPrefix(e.id, "deadly-") {
			if crashes++; crashes == 5 {
				fifth = e.at
			}
			if !fifth.IsZero() && e.at.After(fifth.Add(contactTime)) && deadly[e.id].at.After(fifth.Add(contactTime)) {
				late++
			}
		}
	}
	before, begunBefore, after, begunAfter := 0, 0, 0, 0
	for _, s := range sound {
		begun := 0
		if s.status == http.StatusOK {
			begun = 1
		}
		switch {
		case s.at.Before(start.Add(calm * time.Second)):
			before++
			begunBefore += begun
		case !fifth.IsZero() && s.at.After(fifth.Add(2*contactTime)):
			after++
			begunAfter += begun
		}
	}
	f.rec.line("requests with the deadly part: %d sent, %d reached engines; %d were sent and reached engines later than 3 s after the fifth crash", len(deadly), crashes, late)
	f.rec.line("sound requests served at the first attempt: %d of %d in calm, %d of %d from 6 s after the fifth crash", begunBefore, before, begunAfter, after)
	starved := before >= 20 && after >= 20 && float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before)
	return late > 3 && starved, nil
}
