package catalog

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index is an immutable configuration with maps for lookups.
type Index struct {
	configuration *Configuration
	routes        map[string]map[string]*Route
	keys          map[string]*Tenant
	services      map[string]*Service
}

// NewIndex returns an index of a checked configuration, which must not change afterwards.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{
		configuration: configuration,
		routes:        map[string]map[string]*Route{},
		keys:          map[string]*Tenant{},
		services:      map[string]*Service{},
	}
	for i := range configuration.Routes {
		index.addRoute(&configuration.Routes[i])
	}
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		for _, key := range tenant.Keys {
			index.keys[key] = tenant
		}
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		index.services[service.Name] = service
	}
	return index
}

func (x *Index) addRoute(route *Route) {
	host := strings.ToLower(route.Host)
	if x.routes[host] == nil {
		x.routes[host] = map[string]*Route{}
	}
	x.routes[host][route.Prefix] = route
}

// Configuration returns the indexed configuration. The caller must not modify it.
func (x *Index) Configuration() *Configuration { return x.configuration }

// Version returns the version of the configuration.
func (x *Index) Version() uint64 { return x.configuration.Version }

// KeyPolicy returns whether requests need a tenant's key.
func (x *Index) KeyPolicy() KeyPolicy { return x.configuration.KeyPolicy() }

// Route returns the route with the longest matching prefix for the host and path, or nil. It
// looks up the prefixes of the path, longest first, so its cost doesn't depend on the number of
// routes.
func (x *Index) Route(host, path string) *Route {
	byPrefix := x.routes[hostName(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Tenant returns the tenant that owns the key, or nil.
func (x *Index) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return x.keys[key]
}

// Service returns the service with the name. For a service that the configuration doesn't
// describe, it returns one with default values.
func (x *Index) Service(name string) Service {
	if service := x.services[name]; service != nil {
		return *service
	}
	return Service{Name: name}
}

// Target selects one of the route's services by weight. The same seed selects the same service
// on every gateway.
func (r *Route) Target(seed string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if len(r.Targets) == 1 || total == 0 {
		return r.Targets[0].Service
	}
	point := int(xxhash.Sum64String(seed) % uint64(total))
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
