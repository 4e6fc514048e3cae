package settings

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const gatewaySettings = `role = "gateway"
id = "edge-1"
zone = "z"

[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"

[platform]
url = "http://127.0.0.1:4"

[gateway]
`

// Without read_period the read period is derived from the shorter of the two bounds.
func TestDefaultReadPeriodFollowsShortestBound(t *testing.T) {
	is := is.New(t)
	for line, want := range map[string]time.Duration{
		"":                        800 * time.Millisecond,
		`leaving_bound = "3s"`:    1200 * time.Millisecond,
		`leaving_bound = "100ms"`: minReadPeriod,
		`evacuation_bound = "1s"`: 400 * time.Millisecond,
		`evacuation_bound = "9s"`: 800 * time.Millisecond,
		`leaving_bound = "10m"`:   maxReadPeriod,
		`read_period = "500ms"`:   500 * time.Millisecond,
	} {
		s, err := Parse("s.toml", []byte(gatewaySettings+line))
		is.NoErr(err)
		is.Equal(s.Gateway.ReadPeriod.Std(), want)
	}
}

func TestGatewaySettingsAreParsedAndChecked(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.toml", []byte(gatewaySettings+"load_multiple = 1.4\n"))
	is.NoErr(err)
	is.Equal(s.Gateway.LoadMultiple, 1.4)
	is.Equal(*s.Gateway.WarmUpOverage, 1.0)
	is.Equal(s.Gateway.BackupShare, 0.0)
	s, err = Parse("s.toml", []byte(gatewaySettings+"warm_up_overage = 1.5\nwarm_up_extra = 5\n"))
	is.NoErr(err)
	is.Equal(*s.Gateway.WarmUpOverage, 1.5)
	is.Equal(s.Gateway.WarmUpExtra, 5.0)
	for _, line := range []string{"warm_up_overage = -1\n", "warm_up_extra = nan\n", "evacuation_bound = \"20m\"\n", "backup_share = 1.5\n", "max_descriptors = 5\n"} {
		_, err = Parse("s.toml", []byte(gatewaySettings+line))
		is.True(err != nil)
	}
	_, err = Parse("s.toml", []byte(gatewaySettings+"disable = [\"luck\"]\n"))
	is.True(err != nil) // an unknown mechanism
	s, err = Parse("s.toml", []byte(gatewaySettings+"disable = [\"copying\"]\n"))
	is.NoErr(err)
	is.Equal(len(s.Gateway.Disabled()), 1)
}
