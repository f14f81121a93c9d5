package groupcontrol

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against extra loads after each change of the leaseholder: a new controller does not
// know when its predecessor started the last load.
func TestReserveLoad_KeepsRateAcrossControllers(t *testing.T) {
	const (
		loadsPerSec = 4.0
		dataCentres = 2
		window      = 5 * time.Second
	)
	for name, held := range map[string]time.Duration{"one controller": time.Hour, "a new controller each second": time.Second, "a new controller each 0.2 s": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &serving.Engine{LoadsPerSec: loadsPerSec}
				options := Options{DataCentres: dataCentres, Unpaced: func() bool { return false }}
				start := time.Now()
				loads := 0
				for time.Since(start) < window {
					began := time.Now()
					c := &Controller{options: options, log: logging.For("groups")}
					c.reset(1)
					for time.Since(began) < held && time.Since(start) < window {
						wait := c.reserveLoad(engine, time.Now())
						if time.Since(began)+wait >= held {
							time.Sleep(held - time.Since(began))
							break
						}
						time.Sleep(wait)
						loads++
					}
				}
				require.LessOrEqual(t, loads, int(window.Seconds()*loadsPerSec/dataCentres)+1)
			})
		})
	}
}
