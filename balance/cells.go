package balance

// Cells: parts of the clients that share members by weight.

// cell has what one flooded cell must not spoil for the others: how long answers take and how many end badly.
type cell struct {
	Cell
	classes map[string]*class
	bad     map[int]*badAttempts // by group
}

// badAttempts is the part of the last attempts in a group that ended badly, 0 to 1.
type badAttempts struct{ replicas, primary float64 }

// badAttempts gives that of one group: elsewhere hosts may stand idle.
func (c *cell) badAttempts(g *group) *badAttempts {
	if c.bad[g.id] == nil {
		c.bad[g.id] = &badAttempts{}
	}
	return c.bad[g.id]
}

type sharers struct { // the cells that may use a member, and their weight
	cells  []*cell
	weight float64
}

func (r *Router) onCells(e Cells) {
	old := r.cells
	r.listed, r.cells, r.all, r.shared = e, map[int]*cell{}, sharers{}, map[string]sharers{}
	for _, c := range append([]Cell{{}}, e.List...) {
		n := old[c.ID]
		if n == nil {
			n = &cell{bad: map[int]*badAttempts{}}
		}
		known := n.classes
		n.Cell, n.classes, r.cells[c.ID] = c, map[string]*class{}, n
		for _, cls := range r.s.Classes {
			if n.classes[cls.Name] = known[cls.Name]; known[cls.Name] == nil || known[cls.Name].Class != cls {
				n.classes[cls.Name] = &class{Class: cls, took: cls.LatencyTarget / 4}
			}
		}
		r.all = r.all.with(n)
		for server := range c.Servers {
			r.shared[server] = r.shared[server].with(n)
		}
	}
}

func (s sharers) with(c *cell) sharers { return sharers{append(s.cells, c), s.weight + c.Weight} }

func (q *request) may(m *member) bool { return q.cell.Servers == nil || q.cell.Servers[m.Server] }

// part is the fair part of limit at m for a weight of 1, among the cells that may use m.
func (r *Router) part(c *cell, m *member, limit float64) (float64, []*cell) {
	by := r.shared[m.Server]
	if m == m.group.primary {
		by = r.all
	}
	return limit / max(by.weight, c.Weight, leastWeight), by.cells
}

// cellHasRoom says whether q's cell may have one more out at m: its reserve of its fair part even where others hold
// the limit; beyond it leaves free what others have left of theirs.
func (r *Router) cellHasRoom(q *request, m *member, limit float64) bool {
	part, cells := r.part(q.cell, m, limit)
	free := limit - float64(len(m.out))
	if float64(m.of[q.cell]+1) <= q.cell.Reserve*q.cell.Weight*part {
		return true
	}
	for _, o := range cells {
		if o != q.cell && free > 0 {
			free -= max(0, o.Reserve*o.Weight*part-float64(m.of[o]))
		}
	}
	return free > 0
}
