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

// What isn't set follows from what the platform tells.
func TestReadPeriodFollowsTheBoundOnLeaving(t *testing.T) {
	is := is.New(t)
	for line, want := range map[string]time.Duration{
		"":                        800 * time.Millisecond,
		`leaving_bound = "3s"`:    1200 * time.Millisecond,
		`leaving_bound = "100ms"`: shortestReadPeriod,
		`leaving_bound = "10m"`:   longestReadPeriod,
		`read_period = "500ms"`:   500 * time.Millisecond,
	} {
		s, err := Parse("s.toml", []byte(gatewaySettings+line))
		is.NoErr(err)
		is.Equal(s.Gateway.ReadPeriod.Std(), want)
	}
}

func TestGatewayBoundsAreTakenAsTold(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.toml", []byte(gatewaySettings+"load_multiple = 1.4\n"))
	is.NoErr(err)
	is.Equal(s.Gateway.LoadMultiple, 1.4)
	_, err = Parse("s.toml", []byte(gatewaySettings+"disable = [\"luck\"]\n"))
	is.True(err != nil) // names the known ones
	s, err = Parse("s.toml", []byte(gatewaySettings+"disable = [\"copying\"]\n"))
	is.NoErr(err)
	is.Equal(len(s.Gateway.Disabled()), 1)
}
