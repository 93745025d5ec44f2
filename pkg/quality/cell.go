package quality

import (
	"math"
	"time"

	"cassiapin/pkg/config"
)

const (
	// ratingDiscount is the factor by which each new rating scales the weight
	// of earlier ones. The effective window is about 200 ratings, so estimates
	// follow a shift of the mean within a few hundred ratings.
	ratingDiscount = 0.995
	// answerDiscount is the same factor for cost, time and errors.
	answerDiscount = 0.998
	// priorRatings is the weight of the declared prior, in ratings.
	priorRatings = 10
	// priorVariance is the assumed variance of ratings under the prior.
	priorVariance = 0.05
	// minServedVariance is a floor that prevents an overly narrow confidence
	// bound after a few equal ratings. It equals a standard deviation of 0.1.
	minServedVariance = 0.01
	// priorAnswers is the weight of the prior cost, in answers.
	priorAnswers = 4
	// priorPromptTokens and priorAnswerTokens are the token counts from which
	// the prior cost is computed with the declared prices.
	priorPromptTokens = 500
	priorAnswerTokens = 300
)

// key identifies a cell of the quality table.
type key struct {
	class string
	ref   config.VersionRef
}

// cell is an entry of the quality table: the discounted sums of observations for
// one request class and model version. Sums are additive, so cells collected by
// several nodes can be combined.
type cell struct {
	// Rated is the number of ratings; Sum and SumSquares are their sums.
	Rated      float64 `json:"rated" cbor:"1,keyasint"`
	Sum        float64 `json:"sum" cbor:"2,keyasint"`
	SumSquares float64 `json:"sum_squares" cbor:"3,keyasint"`
	// Answers and Failed count all and failed answers; Cost is the sum of prices.
	Answers float64 `json:"answers" cbor:"4,keyasint"`
	Failed  float64 `json:"failed" cbor:"5,keyasint"`
	Cost    float64 `json:"cost" cbor:"6,keyasint"`
	// Time and FirstToken are sums in seconds over successful answers.
	Time       float64 `json:"time_s" cbor:"7,keyasint"`
	FirstToken float64 `json:"first_token_s" cbor:"8,keyasint"`
}

func (c cell) empty() bool { return c.Rated == 0 && c.Answers == 0 }

// merge discounts c by the number of observations in delta and adds delta.
func (c *cell) merge(delta cell) {
	r, a := 1.0, 1.0
	if delta.Rated > 0 {
		r = math.Pow(ratingDiscount, delta.Rated)
	}
	if delta.Answers > 0 {
		a = math.Pow(answerDiscount, delta.Answers)
	}
	c.Rated = c.Rated*r + delta.Rated
	c.Sum = c.Sum*r + delta.Sum
	c.SumSquares = c.SumSquares*r + delta.SumSquares
	c.Answers = c.Answers*a + delta.Answers
	c.Failed = c.Failed*a + delta.Failed
	c.Cost = c.Cost*a + delta.Cost
	c.Time = c.Time*a + delta.Time
	c.FirstToken = c.FirstToken*a + delta.FirstToken
}

// add adds delta without discounting. It accumulates observations that are
// discounted when they are merged later.
func (c *cell) add(delta cell) {
	c.Rated += delta.Rated
	c.Sum += delta.Sum
	c.SumSquares += delta.SumSquares
	c.Answers += delta.Answers
	c.Failed += delta.Failed
	c.Cost += delta.Cost
	c.Time += delta.Time
	c.FirstToken += delta.FirstToken
}

func ratingCell(x float64) cell { return cell{Rated: 1, Sum: x, SumSquares: x * x} }

func answerCell(s Sample) cell {
	c := cell{Answers: 1, Cost: s.Cost}
	if s.Failed {
		c.Failed = 1
		return c
	}
	c.Time, c.FirstToken = s.Time.Seconds(), s.FirstToken.Seconds()
	return c
}

// estimate combines the cell with the declared prior. z is the number of
// standard errors between the mean and the lower bound. Times stay zero, meaning
// unknown, until the first answer: an assumed time could reject requests whose
// deadline can be met.
func (c cell) estimate(prior float64, v *config.Version, z float64) Estimate {
	n := c.Rated + priorRatings
	mean := (c.Sum + priorRatings*prior) / n
	squares := c.SumSquares - 2*mean*c.Sum + c.Rated*mean*mean
	priorSquares := priorRatings * (priorVariance + (prior-mean)*(prior-mean))
	variance := (max(squares, 0) + priorSquares) / n
	priorCost := (v.PriceInput*priorPromptTokens + v.PriceOutput*priorAnswerTokens) / 1000
	e := Estimate{
		Mean:  mean,
		Lower: max(0, mean-z*math.Sqrt(variance/n)),
		Rated: c.Rated,

		Deviation: math.Sqrt(variance),
		Cost:      (c.Cost + priorAnswers*priorCost) / (c.Answers + priorAnswers),
	}
	if c.Answers > 0 {
		e.ErrorRate = c.Failed / c.Answers
	}
	if succeeded := c.Answers - c.Failed; succeeded > 0 {
		e.Time = time.Duration(c.Time / succeeded * float64(time.Second))
		e.FirstToken = time.Duration(c.FirstToken / succeeded * float64(time.Second))
	}
	return e
}

// served returns the mean of the ratings and its lower bound.
func (c cell) served(z float64) Served {
	if c.Rated == 0 {
		return Served{}
	}
	mean := c.Sum / c.Rated
	variance := max(c.SumSquares/c.Rated-mean*mean, minServedVariance)
	return Served{Mean: mean, Lower: max(0, mean-z*math.Sqrt(variance/c.Rated)), Rated: c.Rated}
}

// row is the stored form of a cell and its key.
type row struct {
	Class   string `json:"class" cbor:"1,keyasint"`
	Model   string `json:"model" cbor:"2,keyasint"`
	Version string `json:"version" cbor:"3,keyasint"`
	Cell    cell   `json:"cell" cbor:"4,keyasint"`
}

func toRows(cells map[key]cell) []row {
	rows := make([]row, 0, len(cells))
	for k, c := range cells {
		rows = append(rows, row{Class: k.class, Model: k.ref.Model, Version: k.ref.Version, Cell: c})
	}
	return rows
}

func fromRows(rows []row) map[key]cell {
	cells := make(map[key]cell, len(rows))
	for _, r := range rows {
		cells[key{class: r.Class, ref: config.VersionRef{Model: r.Model, Version: r.Version}}] = r.Cell
	}
	return cells
}

func mergeAll(into, delta map[key]cell) {
	for k, d := range delta {
		c := into[k]
		c.merge(d)
		into[k] = c
	}
}
