package directory

import (
	"bytes"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
)

// Configuration returns the newest configuration's version and row value.
func (d *Directory) Configuration() (version uint64, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuration == nil {
		return 0, nil
	}
	return d.configuration.Version, d.configurationRow
}

func (d *Directory) recordConfigurationResponse(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configurationResponseAt = now
}

// LastConfigurationResponse returns when the store last completed a call for the configuration,
// or when the node started. It does not advance on a node that relies on its relay node for the
// configuration.
func (d *Directory) LastConfigurationResponse() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configurationResponseAt
}

// ApplyConfiguration applies a configuration from the store or a peer unless it is older than the
// current one.
func (d *Directory) ApplyConfiguration(value []byte, source string) {
	if _, current := d.Configuration(); bytes.Equal(value, current) {
		return
	}
	// A large configuration takes long to decode, and requests and notices must not wait for the lock
	// meanwhile.
	c, err := d.codec.Configuration(value)
	if err != nil {
		d.log.Error("cannot decode the configuration; keeping the current one", "source", source, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuration != nil && c.Version <= d.configuration.Version {
		return
	}
	invariant.Check(d.configuration == nil || c.Version > d.configuration.Version, invariant.Monotonic, "configuration %d", c.Version)
	d.configuration = c
	d.configurationRow = bytes.Clone(value)
	d.log.Info("applied configuration", "version", c.Version, "source", source, "routes", len(c.Routes))
	d.markStale()
	d.onNotice()
}
