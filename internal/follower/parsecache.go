package follower

import (
	"sync"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// ParseCache caches the parsed content of the last version of an object. It is meant for large
// objects that are read again and again without having changed.
type ParseCache[T any] struct {
	mutex sync.Mutex
	value T
	at    catalog.Position
	known bool
}

// Get returns the cached value if it is of the position. Otherwise it calls parse and caches the
// result unless there is an error.
func (p *ParseCache[T]) Get(at catalog.Position, parse func() (T, error)) (T, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.known && p.at == at {
		return p.value, nil
	}
	value, err := parse()
	if err == nil {
		p.value, p.at, p.known = value, at, true
	}
	return value, err
}
