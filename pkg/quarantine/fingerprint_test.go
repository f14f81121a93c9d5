package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

func TestFingerprintOf_SeparatesParts(t *testing.T) {
	of := func(parts ...string) quarantine.Fingerprint {
		var raw [][]byte
		for _, part := range parts {
			raw = append(raw, []byte(part))
		}
		return quarantine.FingerprintOf(raw...)
	}
	require.Equal(t, of("caller", "/path", "body"), of("caller", "/path", "body"))
	for _, other := range [][]string{{"caller", "/pathb", "ody"}, {"caller/path", "", "body"}, {"caller", "/path", "body", ""}, {"other", "/path", "body"}} {
		require.NotEqual(t, of("caller", "/path", "body"), of(other...), other)
	}
}

func TestParseFingerprint_RoundTrips(t *testing.T) {
	f := quarantine.FingerprintOf([]byte("a"))
	read, err := quarantine.ParseFingerprint(f.String())
	require.NoError(t, err)
	require.Equal(t, f, read)
	for _, text := range []string{"", "00", f.String() + "00", "zz" + f.String()[2:]} {
		_, err := quarantine.ParseFingerprint(text)
		require.Error(t, err, text)
	}
}
