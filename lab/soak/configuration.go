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

// versionPattern matches the metric with the version of the active configuration.
var versionPattern = regexp.MustCompile(`(?m)^ridgehinge_configuration_version\{[^}]*\} (\S+)$`)

// configurationVersion returns the version of an entry instance's active configuration.
func (p *process) configurationVersion(client *http.Client) (uint64, error) {
	response, err := client.Get("http://" + p.metricsAddress + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	found := versionPattern.FindSubmatch(text)
	if found == nil {
		return 0, fmt.Errorf("%s reports no configuration version", p.name)
	}
	version, err := strconv.ParseFloat(string(found[1]), 64)
	return uint64(version), err
}

// ConfigureAfterOutage makes the store stop responding with calls in flight, writes a
// configuration as soon as it responds again, and returns the time from then until every entry
// instance uses it. A watch that was sent during the outage never gets a response.
func (r *Run) ConfigureAfterOutage(silence time.Duration) (time.Duration, error) {
	r.injectStoreFault(silentStore, silence)
	r.configure()
	return r.waitConfigured()
}

// ConfigureAfterRestore restores the store from an older copy and, before it responds again,
// assigns the lost versions to other writes, including a new configuration. It returns the time
// until every entry instance uses that. A watch from before the restore does not report it.
func (r *Run) ConfigureAfterRestore(outage time.Duration) (time.Duration, error) {
	snapshot := r.platform.Table.Copy()
	r.consumeVersions(fillerWrites)
	time.Sleep(outage)
	r.platform.Table.SetFaults(memtable.Faults{Down: true})
	r.platform.Restore(snapshot, rewritePeriod)
	time.Sleep(rewritePeriod)
	r.configure()
	r.consumeVersions(2 * fillerWrites)
	r.platform.Table.SetFaults(memtable.Faults{})
	return r.waitConfigured()
}

// fillerWrites is the number of foreign writes before the restore, far more than all other
// writes.
const fillerWrites = 100

// consumeVersions advances the store's version by writing and removing foreign rows.
func (r *Run) consumeVersions(times int) {
	for n := range times {
		keys, err := r.platform.WriteInvalidRows(fmt.Sprintf("filler-%d-", n))
		if err == nil {
			err = r.platform.RemoveRows(keys)
		}
		if err != nil {
			r.recordViolation("test harness: %v", err)
		}
	}
}

// waitConfigured waits until every entry instance uses the newest configuration and returns the
// time that took.
func (r *Run) waitConfigured() (time.Duration, error) {
	began := time.Now()
	client := &http.Client{Timeout: time.Second}
	for _, p := range r.entries {
		for {
			version, err := p.configurationVersion(client)
			if err == nil && version == r.configurationVersion {
				break
			}
			if time.Since(began) > recoveryTimeout {
				return 0, fmt.Errorf("%s uses configuration %d (%v) instead of %d %s after it was written", p.name, version, err, r.configurationVersion, recoveryTimeout)
			}
			time.Sleep(versionPollInterval)
		}
	}
	return time.Since(began), nil
}

// versionPollInterval is the interval between reads of the metric, which is updated once a second.
const versionPollInterval = 50 * time.Millisecond
