package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/standin/crashlog"
	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

func init() { cases["5"] = caseParts }

// Figures of the case. The platform and its workers are the project's own stand-in, with two data centres.
const (
	modelWorkers = 7
	partsShared  = 16
	// deadlyEvery and soundEvery are the times between two requests with the part that crashes workers, and between two sound
	// ones.
	deadlyEvery = 700 * time.Millisecond
	soundEvery  = 100 * time.Millisecond
	deadlyFor   = 25 * time.Second
	partBound   = 3
	deadlyPart  = "deadbeef"
)

// partRule is the rule: later than contact after the fifth crash, at most partBound requests with the part reach workers.
var partRule = crashlog.Bound{Crashes: 5, MaxSends: partBound, Grace: contact}

// caseParts has requests come of which one part of the prompt crashes each worker that begins to answer. It stands behind the
// parts that sound requests have too.
func caseParts(e *environment) (bool, error) {
	place := partsShared
	if text := os.Getenv("PLACE"); text != "" {
		var err error
		if place, err = strconv.Atoi(text); err != nil || place > partsShared {
			return false, fmt.Errorf("PLACE must be a number up to %d", partsShared)
		}
	}
	p, err := emulator.StartPlatform(modelWorkers, nil)
	if err != nil {
		return false, err
	}
	defer p.Close()
	if err := e.startNodesAt([]string{"north", "south"}, []int{2, 2}, func() (string, error) { return p.Store, nil }); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var shared []string
	for i := range partsShared {
		shared = append(shared, fmt.Sprintf("5eed%04x", i))
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	sound := map[string]int{}
	call := func(id string, parts []string) string {
		n := e.nodes[len(id)%len(e.nodes)]
		if number, err := strconv.Atoi(id[1:]); err == nil {
			n = e.nodes[number%len(e.nodes)]
		}
		request, err := emulator.NewRequest(n.frontend, emulator.ModelHost, id, 5*time.Second, []byte(id))
		if err != nil {
			return err.Error()
		}
		emulator.SetParts(request, parts...)
		status, _, err := emulator.Do(http.DefaultClient, request)
		if err != nil {
			return "cut off"
		}
		return strconv.Itoa(status)
	}
	stop := time.Now().Add(deadlyFor + 5*time.Second)
	calls.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			calls.Go(func() {
				result := call(fmt.Sprintf("s%d", i), append(slices.Clone(shared), fmt.Sprintf("0a%06x", i)))
				mu.Lock()
				defer mu.Unlock()
				sound[result]++
			})
			time.Sleep(soundEvery)
		}
	})
	time.Sleep(5 * time.Second)
	mu.Lock()
	e.logf("sound requests before: %v", sound)
	clear(sound)
	mu.Unlock()
	if e.trouble {
		p.SetDeadlyPart(deadlyPart)
	}
	for i := 0; time.Now().Before(stop); i++ {
		parts := slices.Insert(append(slices.Clone(shared), fmt.Sprintf("0b%06x", i)), place, deadlyPart)
		calls.Go(func() {
			id := fmt.Sprintf("d%d", i)
			result := call(id, parts)
			e.logf("%s at %s: %s; crashes so far: %d", id, e.nodes[i%len(e.nodes)].name, result, p.Crashes.Count(deadlyPart))
		})
		time.Sleep(deadlyEvery)
	}
	calls.Wait()
	e.logf("sound requests meanwhile: %v", sound)
	e.logf("the part stood in place %d of %d and crashed %d workers", place+1, partsShared+2, p.Crashes.Count(deadlyPart))
	if err := p.Crashes.Check(partRule, func(time.Time) bool { return true }); err != nil {
		e.logf("%v", err)
		return false, nil
	}
	return true, nil
}
