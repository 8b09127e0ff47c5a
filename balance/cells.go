package balance

// Cells: subsets of the clients that share members by weight.

// cell holds the statistics that one flooded cell must not spoil for the others: how long answers take and
// how many attempts end badly.
type cell struct {
	Cell
	classes    map[string]*class
	badByGroup map[int]*badAttempts
}

// badAttempts holds the fractions of recent attempts in a group that ended badly, 0 to 1.
type badAttempts struct{ replicas, primary float64 }

// badAttempts returns the fractions of one group: the hosts of another group may be idle.
func (c *cell) badAttempts(g *group) *badAttempts {
	if c.badByGroup[g.id] == nil {
		c.badByGroup[g.id] = &badAttempts{}
	}
	return c.badByGroup[g.id]
}

// sharers holds the cells that may use a member, and the sum of their weights.
type sharers struct {
	cells  []*cell
	weight float64
}

// onCells replaces the cells. Cells that remain keep their statistics.
func (r *Router) onCells(e Cells) {
	old := r.cells
	r.cellList, r.cells, r.primarySharers, r.replicaSharers = e, map[int]*cell{}, sharers{}, map[string]sharers{}
	for _, c := range append([]Cell{{}}, e.List...) {
		n := old[c.ID]
		if n == nil {
			n = &cell{badByGroup: map[int]*badAttempts{}}
		}
		known := n.classes
		n.Cell, n.classes, r.cells[c.ID] = c, map[string]*class{}, n
		for _, cls := range r.settings.Classes {
			if n.classes[cls.Name] = known[cls.Name]; known[cls.Name] == nil || known[cls.Name].Class != cls {
				n.classes[cls.Name] = &class{Class: cls, latency: cls.LatencyTarget / 4}
			}
		}
		r.primarySharers = r.primarySharers.with(n)
		for server := range c.Servers {
			r.replicaSharers[server] = r.replicaSharers[server].with(n)
		}
	}
}

// with returns s with c added.
func (s sharers) with(c *cell) sharers { return sharers{append(s.cells, c), s.weight + c.Weight} }

// mayUse reports whether q's cell may read from m.
func (q *request) mayUse(m *member) bool { return q.cell.Servers == nil || q.cell.Servers[m.Server] }

// fairShare returns the fair share of limit at m for a weight of 1, and the cells that may use m.
func (r *Router) fairShare(c *cell, m *member, limit float64) (float64, []*cell) {
	users := r.replicaSharers[m.Server]
	if m == m.group.primary {
		users = r.primarySharers
	}
	return limit / max(users.weight, c.Weight, minWeight), users.cells
}

// hasCellCapacity reports whether q's cell may have one more attempt in flight at m. Its reserve of its fair
// share is guaranteed even if other cells fill the limit. Beyond that, it must leave free what other cells
// have not used of their reserves.
func (r *Router) hasCellCapacity(q *request, m *member, limit float64) bool {
	share, cells := r.fairShare(q.cell, m, limit)
	free := limit - float64(len(m.inFlight))
	if float64(m.inFlightByCell[q.cell]+1) <= q.cell.Reserve*q.cell.Weight*share {
		return true
	}
	for _, o := range cells {
		if o != q.cell && free > 0 {
			free -= max(0, o.Reserve*o.Weight*share-float64(m.inFlightByCell[o]))
		}
	}
	return free > 0
}
