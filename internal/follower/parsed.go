package follower

import (
	"sync"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Parsed keeps what was read last of an object: a large one is read again and again at the
// position that it had.
type ParseCache[T any] struct {
	mutex sync.Mutex
	value T
	at    catalog.Position
	known bool
}

// At returns what is kept of the position, or what parse returns, which is kept unless it is an
// error.
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
