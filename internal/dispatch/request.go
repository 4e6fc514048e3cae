package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Part is one part of a prompt. Parts are shared between requests; the last one
// belongs to the request or its chat.
type Part struct {
	// ID is the same wherever the part occurs.
	ID string
	// Tokens is its length.
	Tokens int
}

// Request is what the core needs to know of a caller's request.
type Request struct {
	// ID is the request's own.
	ID string
	// Route is the route in force when it came.
	Route *catalog.Route
	// Path is the whole path, for failures that belong to it.
	Path string
	// Parts are the prompt's parts in order, or none.
	Parts []Part
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// Fingerprints returns what stands for the request's content; nil where that is of no
	// interest. It is called only where back ends have crashed.
	Fingerprints func() []Fingerprint
	// Deadline is when the caller or the route ends the request.
	Deadline time.Time
}

// affinity returns the ID of the last shared part, or "".
func (r *Request) affinity() string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].ID
	default:
		return r.Parts[len(r.Parts)-2].ID
	}
}

// sharedTokens returns the length of the prompt up to the end of the last shared
// part.
func (r *Request) sharedTokens() int {
	total := 0
	for i, part := range r.Parts {
		if i == 0 || i < len(r.Parts)-1 {
			total += part.Tokens
		}
	}
	return total
}

// shorterPrefixes returns the shared parts before the last one: the beginnings that the
// prompt has in common with prompts of other last shared parts.
func (r *Request) shorterPrefixes() []Part {
	if len(r.Parts) < 3 {
		return nil
	}
	return r.Parts[:len(r.Parts)-2]
}
