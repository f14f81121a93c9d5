package soak

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
)

// versionLine is the line of the metrics page that tells the configuration in force.
var versionLine = regexp.MustCompile(`(?m)^ridgehinge_configuration_version\{[^}]*\} (\S+)$`)

// inForce returns the version of the configuration that an entry instance acts on.
func (p *process) inForce(client *http.Client) (uint64, error) {
	response, err := client.Get("http://" + p.metrics + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	found := versionLine.FindSubmatch(text)
	if found == nil {
		return 0, fmt.Errorf("%s tells no version of its configuration", p.name)
	}
	version, err := strconv.ParseFloat(string(found[1]), 64)
	return uint64(version), err
}

// ConfiguredAfterSilence has the store fall silent with calls under way, writes a
// configuration as soon as it answers again, and waits until each entry instance acts on
// it; the time that took is returned. A watch that was sent into the silence is never
// answered.
func (r *Run) ConfiguredAfterSilence(silence time.Duration) (time.Duration, error) {
	r.store(silent, silence)
	r.configure()
	return r.awaitConfigured()
}

// ConfiguredAfterCopy has the store come back from an older copy after an outage in which it
// gives the versions of the lost time out again, a configuration among them, and waits until
// each entry instance acts on that; the time that took is returned. A watch from before tells
// nothing of it.
func (r *Run) ConfiguredAfterCopy(outage time.Duration) (time.Duration, error) {
	older := r.platform.Table.Copy()
	r.giveOutVersions(fillers)
	time.Sleep(outage)
	r.platform.Table.SetFaults(memtable.Faults{Down: true})
	r.platform.Restore(older, rewritten)
	time.Sleep(rewritten)
	r.configure()
	r.giveOutVersions(2 * fillers)
	r.platform.Table.SetFaults(memtable.Faults{})
	return r.awaitConfigured()
}

// fillers is how often another writer writes in the lost time: by far more than all others.
const fillers = 100

// giveOutVersions has another writer write and remove rows a number of times.
func (r *Run) giveOutVersions(times int) {
	for n := range times {
		keys, err := r.platform.WriteForeign(fmt.Sprintf("filler-%d-", n))
		if err == nil {
			err = r.platform.Remove(keys)
		}
		if err != nil {
			r.breakPromise("the harness: %v", err)
		}
	}
}

// awaitConfigured waits until each entry instance acts on the newest configuration and returns
// how long that took.
func (r *Run) awaitConfigured() (time.Duration, error) {
	began := time.Now()
	client := &http.Client{Timeout: time.Second}
	for _, p := range r.entries {
		for {
			version, err := p.inForce(client)
			if err == nil && version == r.version {
				break
			}
			if time.Since(began) > calmBound {
				return 0, fmt.Errorf("%s acts on configuration %d (%v), not on %d, %s after it was written", p.name, version, err, r.version, calmBound)
			}
			time.Sleep(inForcePoll)
		}
	}
	return time.Since(began), nil
}

// inForcePoll is the pause between two looks at a version; the page tells it once a second.
const inForcePoll = 50 * time.Millisecond
