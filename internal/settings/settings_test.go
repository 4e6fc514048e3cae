package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
)

const routerSettings = `role = "router"
id = "r1"
zone = "a"
cluster_key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
trusted_keys = ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="]
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
`

func TestParseErrorsNameLineFieldAndRemedy(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown key":  {`zone =`, `zoen =`, "s.toml:3: zoen: unknown key; remove it"},
		"bad role":     {`"router"`, `"proxy"`, `s.toml:1: role: "proxy" is unknown; write "router", "agent" or "gateway"`},
		"short key":    {`0123456789abcdef"`, `"`, "s.toml:4: cluster_key: is not 64 hex digits"},
		"host name":    {`peers = "127.0.0.1:0"`, `peers = "localhost:0"`, `s.toml:8: listen.peers: "localhost:0" is not an IP address and port`},
		"missing zone": {`zone = "a"`, ``, "s.toml: zone: is missing; name the zone of this machine"},
		"out of range": {"[listen]", "drain_timeout = \"100h\"\n[listen]", "s.toml:6: drain_timeout: 100h0m0s is out of range; write a duration from 1s to 24h0m0s"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("s.toml", []byte(strings.Replace(routerSettings, c.from, c.to, 1)))
			is.Equal(failure.KindOf(err), failure.InvalidSettings)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func TestValidSettingsGetDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.toml", []byte(routerSettings))
	is.NoErr(err)
	is.Equal(s.Router.MaxBodyBytes, int64(defaultMaxBody))
	is.Equal(len(s.ClusterKeyBytes()), 32)
	is.Equal(len(s.PublicKeys()), 1)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(routerSettings))
	f.Add([]byte("role = 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("s.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatal("either settings or an error")
		}
	})
}
