package tomlfile

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Name  string   `toml:"name"`
	Wait  Duration `toml:"wait"`
	Pools []struct {
		Name  string `toml:"name"`
		Hosts []struct {
			ID string `toml:"id"`
		} `toml:"hosts"`
	} `toml:"pools"`
}

const document = `name = "a"
wait = "250ms"

[[pools]]
name = "one"
[[pools.hosts]]
id = "x"
[[pools.hosts]]
id = "y"

[[pools]]
name = "two"
[[pools.hosts]]
id = "z"
`

func TestProblemLinesInNestedArrays(t *testing.T) {
	is := is.New(t)
	var s sample
	doc, err := Decode("f.toml", []byte(document), &s)
	is.NoErr(err)
	is.Equal(s.Wait.Std(), 250*time.Millisecond)
	is.Equal(doc.Problem("pools.0.hosts.1.id", "bad", "fix").String(), "f.toml:9: pools.0.hosts.1.id: bad; fix")
	is.Equal(doc.Problem("pools.1.hosts.0.id", "bad", "fix").Line, 14)
	is.Equal(doc.Problem("pools.1.absent", "bad", "fix").Line, 11) // the line of the nearest enclosing table
}

func TestUnknownKeyAndWrongTypeReportTheirLine(t *testing.T) {
	is := is.New(t)
	var s sample
	_, err := Decode("f.toml", []byte("name = \"a\"\nnmae = 1\n"), &s)
	is.Equal(err.Error(), "f.toml:2: nmae: unknown key; remove it or correct its spelling")
	_, err = Decode("f.toml", []byte("name = \"a\"\nwait = \"soon\"\n"), &s)
	is.True(err != nil)
	problems, ok := err.(Problems)
	is.True(ok)
	is.Equal(problems[0].Line, 2)
}
