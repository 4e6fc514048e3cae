package bundle

import "strings"

// location is a back end's position in the document.
type location struct {
	pool    int
	backEnd int
}

// index maps names to positions in the document.
type index struct {
	backEnds map[string]location
	keys     map[string]int
}

func (c *Content) buildIndex() {
	c.index = index{backEnds: map[string]location{}, keys: map[string]int{}}
	for i := range c.Pools {
		c.Pools[i].memberIDs = nil
		for j, backEnd := range c.Pools[i].BackEnds {
			c.Pools[i].memberIDs = append(c.Pools[i].memberIDs, backEnd.ID)
			c.index.backEnds[backEnd.ID] = location{pool: i, backEnd: j}
		}
	}
	for i, tenant := range c.Tenants {
		for _, hash := range tenant.KeySHA256 {
			c.index.keys[hash] = i
		}
	}
}

// Pool returns the pool with the name, or nil.
func (c *Content) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// PoolForModel returns the engine pool that serves the model, or nil.
func (c *Content) PoolForModel(model string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Serves(model) {
			return &c.Pools[i]
		}
	}
	return nil
}

// PoolForPath returns the service pool whose prefix begins the path, or nil.
func (c *Content) PoolForPath(path string) *Pool {
	for i := range c.Pools {
		pool := &c.Pools[i]
		if pool.Kind == PoolService && strings.HasPrefix(path, pool.PathPrefix) {
			return pool
		}
	}
	return nil
}

// PoolOf returns the pool and entry of a back end, or nil.
func (c *Content) PoolOf(backEndID string) (*Pool, *BackEnd) {
	found, ok := c.index.backEnds[backEndID]
	if !ok {
		return nil, nil
	}
	pool := &c.Pools[found.pool]
	return pool, &pool.BackEnds[found.backEnd]
}

// TenantByKey returns the tenant that owns the bearer key, or nil.
func (c *Content) TenantByKey(key string) *Tenant {
	position, ok := c.index.keys[HashKey(key)]
	if !ok {
		return nil
	}
	return &c.Tenants[position]
}

// Tenant returns the tenant with the name, or nil.
func (c *Content) Tenant(name string) *Tenant {
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// ModelNames lists every model in the bundle's order.
func (c *Content) ModelNames() []string {
	var names []string
	for i := range c.Pools {
		names = append(names, c.Pools[i].Models...)
	}
	return names
}
