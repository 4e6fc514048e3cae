package bundle

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/tomlfile"
)

// Limits of the checked values.
const (
	minLoadMultiple = 1.05
	maxLoadMultiple = 10.0
	minMeanWindow   = 50 * time.Millisecond
	maxMeanWindow   = 10 * time.Second
	maxAffinityWait = 5 * time.Second
	maxRunningLimit = 4096
	minLease        = 10 * time.Second
	maxLease        = 24 * time.Hour
	maxClockError   = time.Minute
	maxNameLength   = 64
)

// Parse decodes and checks a bundle document, and fills in defaults. The error lists the problems,
// each with its file, line, field and remedy.
func Parse(file string, data []byte) (*Content, error) {
	content := &Content{}
	document, err := tomlfile.Decode(file, data, content)
	if err != nil {
		return nil, err
	}
	content.applyDefaults()
	checker := &checker{document: document, content: content}
	checker.checkAll()
	if err := checker.problems.Err(); err != nil {
		return nil, err
	}
	content.buildIndex()
	return content, nil
}

// checker collects the problems of one document.
type checker struct {
	document *tomlfile.Document
	content  *Content
	problems tomlfile.Problems
}

func (c *checker) add(field, fault, remedy string) {
	c.problems = append(c.problems, c.document.Problem(field, fault, remedy))
}

func (c *checker) checkAll() {
	if c.content.Format != FormatVersion {
		c.add("format", fmt.Sprintf("is %d", c.content.Format), fmt.Sprintf("write format = %d", FormatVersion))
	}
	c.checkControl()
	c.checkObjectives()
	c.checkPools()
	c.checkTenants()
}

func (c *checker) checkControl() {
	control := c.content.Control
	c.duration("control.ownership_lease", control.OwnershipLease, minLease, maxLease)
	c.duration("control.clock_error", control.ClockError, time.Millisecond, maxClockError)
}

func (c *checker) checkObjectives() {
	objectives := c.content.Objectives
	c.duration("objectives.first_token", objectives.FirstToken, time.Millisecond, time.Minute)
	c.duration("objectives.between_tokens", objectives.BetweenTokens, time.Millisecond, time.Minute)
	c.number("objectives.fraction", objectives.Fraction, 0.5, 0.9999)
	c.number("objectives.answered_whole", objectives.AnsweredWhole, 0.5, 0.99999)
}

func (c *checker) checkPools() {
	if len(c.content.Pools) == 0 {
		c.add("pools", "no pool is defined", "add a [[pools]] table")
	}
	names := map[string]bool{}
	backEnds := map[string]bool{}
	models := map[string]string{}
	prefixes := map[string]string{}
	for i := range c.content.Pools {
		pool := &c.content.Pools[i]
		field := fmt.Sprintf("pools.%d", i)
		c.name(field+".name", pool.Name, names)
		c.checkPoolKind(field, pool, models, prefixes)
		c.checkPoolNumbers(field, pool)
		if len(pool.BackEnds) == 0 {
			c.add(field+".back_ends", "no back end is defined", "add a [[pools.back_ends]] table")
		}
		for j, backEnd := range pool.BackEnds {
			c.checkBackEnd(fmt.Sprintf("%s.back_ends.%d", field, j), backEnd, backEnds)
		}
	}
}

func (c *checker) checkPoolKind(field string, pool *Pool, models, prefixes map[string]string) {
	switch pool.Kind {
	case PoolEngine:
		if len(pool.Models) == 0 {
			c.add(field+".models", "an engine pool serves no model", "list at least one model name")
		}
		for _, model := range pool.Models {
			if other, taken := models[model]; taken {
				c.add(field+".models", fmt.Sprintf("%q is already served by pool %q", model, other), "list each model in only one pool")
			}
			models[model] = pool.Name
		}
		if pool.PathPrefix != "" {
			c.add(field+".path_prefix", "an engine pool has no path of its own", "remove it")
		}
	case PoolService:
		c.checkPathPrefix(field, pool, prefixes)
		if len(pool.Models) > 0 {
			c.add(field+".models", "a service pool serves no model", "remove it")
		}
	default:
		c.add(field+".kind", fmt.Sprintf("%q is unknown", pool.Kind), `write "engine" or "service"`)
	}
}

func (c *checker) checkPathPrefix(field string, pool *Pool, prefixes map[string]string) {
	prefix := pool.PathPrefix
	wellFormed := len(prefix) > 2 && strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
	if !wellFormed || strings.Contains(prefix, "//") || strings.Contains(prefix, "..") {
		c.add(field+".path_prefix", fmt.Sprintf("%q is not a path prefix", prefix), `write one such as "/loans/"`)
		return
	}
	if strings.HasPrefix(prefix, "/v1/") {
		c.add(field+".path_prefix", "/v1/ is reserved for the chat API", "choose another prefix")
	}
	for other, name := range prefixes {
		if strings.HasPrefix(prefix, other) || strings.HasPrefix(other, prefix) {
			c.add(field+".path_prefix", fmt.Sprintf("overlaps with %q of pool %q", other, name), "choose prefixes of which none is a prefix of another")
		}
	}
	prefixes[prefix] = pool.Name
}

func (c *checker) checkPoolNumbers(field string, pool *Pool) {
	c.number(field+".load_multiple", pool.LoadMultiple, minLoadMultiple, maxLoadMultiple)
	c.number(field+".max_running", float64(pool.MaxRunning), 1, maxRunningLimit)
	c.number(field+".max_queued", float64(pool.MaxQueued), 1, maxRunningLimit)
	c.duration(field+".mean_window", pool.MeanWindow, minMeanWindow, maxMeanWindow)
	c.duration(field+".affinity_wait", pool.AffinityWait, 0, maxAffinityWait)
	if pool.Rounding != RoundUp && pool.Rounding != RoundDown {
		c.add(field+".rounding", fmt.Sprintf("%q is unknown", pool.Rounding), `write "up" or "down"`)
	}
}

func (c *checker) checkBackEnd(field string, backEnd BackEnd, seen map[string]bool) {
	c.name(field+".id", backEnd.ID, seen)
	if _, err := netip.ParseAddrPort(backEnd.Agent); err != nil {
		c.add(field+".agent", fmt.Sprintf("%q is not an IP address and port", backEnd.Agent), `write one such as "10.0.0.1:7300"`)
	}
	if backEnd.Zone == "" {
		c.add(field+".zone", "is empty", "set the zone of the machine")
	}
}

func (c *checker) checkTenants() {
	if len(c.content.Tenants) == 0 {
		c.add("tenants", "no tenant is defined", "add a [[tenants]] table")
	}
	names := map[string]bool{}
	keys := map[string]string{}
	for i, tenant := range c.content.Tenants {
		field := fmt.Sprintf("tenants.%d", i)
		c.name(field+".name", tenant.Name, names)
		c.number(field+".weight", tenant.Weight, 0.01, 1000)
		c.number(field+".requests_per_second", tenant.RequestsPerSecond, 0, 1e6)
		c.number(field+".burst", tenant.Burst, 0, 1e7)
		if len(tenant.KeySHA256) == 0 {
			c.add(field+".key_sha256", "no key is listed", "list the hex SHA-256 of at least one bearer key")
		}
		for _, hash := range tenant.KeySHA256 {
			c.checkKeyHash(field+".key_sha256", tenant.Name, hash, keys)
		}
	}
}

func (c *checker) checkKeyHash(field, tenant, hash string, seen map[string]string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		c.add(field, fmt.Sprintf("%q is not a SHA-256 hash", hash), "write 64 lower-case hex digits")
		return
	}
	if other, taken := seen[hash]; taken {
		c.add(field, fmt.Sprintf("the key already belongs to tenant %q", other), "use different keys for each tenant")
	}
	seen[hash] = tenant
}

// name checks that an identifier is valid and used only once.
func (c *checker) name(field, value string, seen map[string]bool) {
	if !validName(value) {
		c.add(field, fmt.Sprintf("%q is not a name", value), "use 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'")
		return
	}
	if seen[value] {
		c.add(field, fmt.Sprintf("%q is used twice", value), "choose distinct names")
	}
	seen[value] = true
}

func validName(value string) bool {
	if value == "" || len(value) > maxNameLength {
		return false
	}
	for _, char := range value {
		isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		isDigit := char >= '0' && char <= '9'
		if !isLetter && !isDigit && char != '-' && char != '_' && char != '.' {
			return false
		}
	}
	return true
}

func (c *checker) number(field string, value, low, high float64) {
	// The negated condition also rejects NaN.
	if !(value >= low && value <= high) {
		c.add(field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a value from %v to %v", low, high))
	}
}

func (c *checker) duration(field string, value tomlfile.Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(field, fmt.Sprintf("%v is out of range", value.Std()), fmt.Sprintf("write a duration from %v to %v", low, high))
	}
}
