package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a back end that runs a request for another path, query or host than the caller's: net/url writes some
// request targets in another way than they were read.
func TestRequestTargetReachesTheBackEndUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "//", "///", "//plans/18", "//plans/18?", "//plans//18?a=b", "///plans/18", "//h%2Fx/%41?b", "//a:b@c/d", "//[::1]/x", "//plans/18%zz",
		"/plans/18?", "/plans/18??", "/plans/18?a=b?c", "/a%2Fb/", "/a;b/c:d/@", "/%E4%B8%96?q=%20+",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			original, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
			if err != nil {
				return // the server refuses it as well
			}
			is.Equal(targetURL("10.0.0.1:1", original).RequestURI(), target)
		})
	}
}
