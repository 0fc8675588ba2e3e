package queuer

// ends orders tickets by Until; it is a heap.
type ends []*Ticket

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].Expires.Before(e[j].Expires) }

func (e ends) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}

// Push is called by package heap.
func (e *ends) Push(x any) {
	t := x.(*Ticket)
	t.place = len(*e)
	*e = append(*e, t)
}

// Pop is called by package heap.
func (e *ends) Pop() any {
	last := len(*e) - 1
	t := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return t
}

// list is a doubly linked list of tickets.
type list struct {
	first, last *Ticket
	length      int
}

func (l *list) append(t *Ticket) {
	t.prev, t.next = l.last, nil
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
	l.length++
}

func (l *list) remove(t *Ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.last = t.prev
	}
	t.prev, t.next = nil, nil
	l.length--
}
