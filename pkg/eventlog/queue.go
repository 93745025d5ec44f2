package eventlog

// line is a queued log line. Routine lines make room for others.
type line struct {
	text    []byte
	routine bool
	// counts is the number of lost lines that the line tells of.
	counts int
}

// queue is a bounded queue of lines in the order in which they were logged. Its
// zero value is empty.
type queue struct {
	lines   [queueLines]line
	first   int
	length  int
	routine int
}

// at returns the i-th oldest line.
func (q *queue) at(i int) *line { return &q.lines[(q.first+i)%queueLines] }

// room reports whether n more lines of a class have room. Routine lines leave
// reserveLines to the others.
func (q *queue) room(n int, routine bool) bool {
	limit := queueLines
	if routine {
		limit -= reserveLines
	}
	return q.length+n <= limit
}

func (q *queue) push(l line) {
	*q.at(q.length) = l
	q.length++
	if l.routine {
		q.routine++
	}
}

// pop removes the oldest line.
func (q *queue) pop() line {
	l := *q.at(0)
	*q.at(0) = line{}
	q.first = (q.first + 1) % queueLines
	q.length--
	if l.routine {
		q.routine--
	}
	return l
}

// evict removes the oldest routine line and reports whether there was one.
func (q *queue) evict() bool {
	if q.routine == 0 {
		return false
	}
	i := 0
	for !q.at(i).routine {
		i++
	}
	evicted := *q.at(i)
	for ; i > 0; i-- {
		*q.at(i) = *q.at(i - 1)
	}
	*q.at(0) = evicted
	q.pop()
	return true
}
