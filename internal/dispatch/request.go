package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Part is one part of a prompt. Parts are shared between requests, except for the last of
// several, which belongs to the request or its chat.
type Part struct {
	// ID identifies the part; it is the same in all prompts that contain the part.
	ID string
	// Tokens is the length of the part.
	Tokens int
}

// Request is what the core needs to know of a caller's request.
type Request struct {
	// ID identifies the request.
	ID string
	// Route is the route that was in force when the request arrived.
	Route *catalog.Route
	// Path is the complete path; failures are remembered by it.
	Path string
	// Parts are the parts of the prompt in order; empty without a prompt.
	Parts []Part
	// PromptTokens is the length of the prompt, and OutputTokens the expected length of the answer.
	// They are 0 if unknown.
	PromptTokens int
	OutputTokens int
	// Tenant is the authenticated tenant, or "" on a public route.
	Tenant string
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// Fingerprints returns the fingerprints of the request's content. It is nil if the content
	// isn't fingerprinted, and is called only once back ends may have crashed.
	Fingerprints func() []Fingerprint
	// Origin is where the stream began that the caller resumes, or nil for a new request. Resumes is the
	// ID of the attempt that began it, or "" if the caller didn't name it.
	Origin  *StreamOrigin
	Resumes string
	// Deadline is when the caller's or the route's time limit ends the request.
	Deadline time.Time
}

// affinity returns the ID of the last shared part, or "" without a prompt.
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

// Seed returns what selects among the targets of the route: requests with the same shared prompt parts go
// to the same service.
func (r *Request) Seed() string {
	if part := r.affinity(); part != "" {
		return part
	}
	return r.ID
}

// sharedTokens returns the length of the prompt up to the end of the last shared part.
func (r *Request) sharedTokens() int {
	total := 0
	for i, part := range r.Parts {
		if i == 0 || i < len(r.Parts)-1 {
			total += part.Tokens
		}
	}
	return total
}

// partTokens returns the length of all parts of the prompt.
func (r *Request) partTokens() int {
	total := 0
	for _, part := range r.Parts {
		total += part.Tokens
	}
	return total
}

// shorterPrefixes returns the shared parts before the last one: the prefix that the prompt
// has in common with prompts whose last shared part is another one. Each of them stands for the
// prefix that ends with it.
func (r *Request) shorterPrefixes() []Part {
	if len(r.Parts) < 3 {
		return nil
	}
	return r.Parts[:len(r.Parts)-2]
}
