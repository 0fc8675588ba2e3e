package queuer

// expiryHeap is a heap of tickets; the ticket that expires first is at its top.
type expiryHeap []*Ticket

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].Expires.Before(e[j].Expires) }

func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*e)
	*e = append(*e, t)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	t := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return t
}

// ticketList is a doubly linked list of tickets.
type ticketList struct {
	first, last *Ticket
	length      int
}

func (l *ticketList) append(t *Ticket) {
	t.prev, t.next = l.last, nil
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
	l.length++
}

func (l *ticketList) remove(t *Ticket) {
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
