package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["items"] = items }

// items has the items of one batch hold a part of prompts that crashes each engine that
// begins to write an answer on it, while ordinary clients ask on another route of the
// service.
func items(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, mortal, func() handler { return plain }); err != nil {
		return false, err
	}
	type sent struct {
		at     time.Time
		status int
	}
	var mu sync.Mutex
	var sending sync.WaitGroup
	sound := make(map[string]sent)
	part := "0badcafe"
	if trouble {
		part = deadlyPart
	}
	var all []item
	for n := range 10 {
		all = append(all, item{ID: fmt.Sprintf("item-%d", n), Path: fmt.Sprintf("/plan/night/%d", n), Body: "cGxhbg==", Tokens: 340,
			Headers: map[string]string{"X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "300,40", "X-Banyanwalk-Prompt-Prefix": prompt(part, 4, n)}})
	}
	body, err := json.Marshal(map[string]any{"requests": all})
	if err != nil {
		return false, err
	}
	start := time.Now()
	const seconds, calm, ended = 60, 8, 40
	for n := range seconds * 20 {
		if n == calm*20 {
			sending.Add(1)
			go func() {
				defer sending.Done()
				f.submit(0, 5, "night", body)
			}()
		}
		if n == ended*20 {
			sending.Add(1)
			go func() {
				defer sending.Done()
				a := f.send(f.role("gateway")[0], http.MethodDelete, "/v1/lots/night", "end-night", nil, 3*time.Second, nil)
				f.rec.line("client: ends the batch: status %d, error %v", a.status, a.err)
			}()
		}
		g := f.role("gateway")[n%3]
		id := fmt.Sprintf("sound-%d", n)
		sending.Add(1)
		go func() {
			defer sending.Done()
			at := time.Now()
			a := f.send(g, http.MethodPost, "/ask/"+id, id, []byte("question "+id), 5*time.Second, map[string]string{"X-Banyanwalk-Model": "m",
				"X-Banyanwalk-Token-Usage": "300,20", "X-Banyanwalk-Prompt-Prefix": prompt("0badcafe", 4, n)})
			f.rec.line("client: %s at %s: status %d, error %v", id, g.name, a.status, a.err)
			if a.err != nil {
				a.status = 0
			}
			mu.Lock()
			sound[id] = sent{at: at, status: a.status}
			mu.Unlock()
		}()
		time.Sleep(50 * time.Millisecond)
	}
	sending.Wait()
	var fifth time.Time
	reached, late, lateSeconds := 0, 0, time.Duration(0)
	runs := make(map[string]int)
	for _, a := range sortedByTime(f.ran("", start)) {
		if !trouble || !strings.HasPrefix(a.id, "item-") {
			continue
		}
		runs[a.id]++
		if reached++; reached == 5 {
			fifth = a.at
		}
		if !fifth.IsZero() && a.at.After(fifth.Add(contactTime)) {
			late++
			lateSeconds = a.at.Sub(fifth)
		}
	}
	before, begunBefore, after, begunAfter, calmAgain, begunAgain := 0, 0, 0, 0, 0, 0
	for _, s := range sound {
		begun := 0
		if s.status == http.StatusOK {
			begun = 1
		}
		switch {
		case s.at.Before(start.Add(calm * time.Second)):
			before++
			begunBefore += begun
		case s.at.After(start.Add((ended + 10) * time.Second)):
			calmAgain++
			begunAgain += begun
		case s.at.After(start.Add(calm*time.Second+3*contactTime)) && s.at.Before(start.Add(ended*time.Second)):
			after++
			begunAfter += begun
		}
	}
	f.rec.line("runs of each item, all of which crashed their engines: %v", runs)
	f.rec.line("requests with the deadly part: %d reached engines; %d later than 3 s after the fifth crash, the last one %.1f s after it", reached, late, lateSeconds.Seconds())
	f.rec.line("sound requests served: %d of %d before the batch, %d of %d from 9 s after it until its end, %d of %d from 10 s after its end, when all engines are back",
		begunBefore, before, begunAfter, after, begunAgain, calmAgain)
	return late > 3, nil
}
