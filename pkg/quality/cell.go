package quality

import (
	"math"
	"time"

	"cassiapin/pkg/config"
)

const (
	// ratingDiscount is the weight that one more rating leaves to the earlier
	// ones: a window of about 200 ratings, so that a shift of the mean is
	// followed within a few hundred ratings.
	ratingDiscount = 0.995
	// answerDiscount is the same for cost, time and errors.
	answerDiscount = 0.998
	// priorRatings is the number of ratings that the declared prior stands for.
	priorRatings = 10
	// priorVariance is the variance assumed of the prior's ratings.
	priorVariance = 0.05
	// minServedVariance keeps the bound of a few equal ratings from being too
	// narrow; it is that of a deviation of 0.1.
	minServedVariance = 0.01
	// priorAnswers is the number of answers that the prior cost stands for.
	priorAnswers = 4
	// priorPromptTokens and priorAnswerTokens give the prior cost from the
	// declared prices.
	priorPromptTokens = 500
	priorAnswerTokens = 300
)

// key names one cell of the table.
type key struct {
	class string
	ref   config.VersionRef
}

// cell holds discounted sums of one class at one version. Sums are additive,
// so cells that several nodes collected can be joined.
type cell struct {
	// Rated counts ratings, Sum and SumSquares add them up.
	Rated      float64 `json:"rated" cbor:"1,keyasint"`
	Sum        float64 `json:"sum" cbor:"2,keyasint"`
	SumSquares float64 `json:"sum_squares" cbor:"3,keyasint"`
	// Answers counts answers, Failed the failed ones; Cost adds up prices.
	Answers float64 `json:"answers" cbor:"4,keyasint"`
	Failed  float64 `json:"failed" cbor:"5,keyasint"`
	Cost    float64 `json:"cost" cbor:"6,keyasint"`
	// Time and FirstToken add up seconds over the answers that did not fail.
	Time       float64 `json:"time_s" cbor:"7,keyasint"`
	FirstToken float64 `json:"first_token_s" cbor:"8,keyasint"`
}

func (c cell) empty() bool { return c.Rated == 0 && c.Answers == 0 }

// merge discounts c by the number of observations in delta and adds them.
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

// add adds delta without discounting, for cells that are not yet merged.
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
// standard errors between the mean and the lower bound. Times are zero, which
// means unknown, until there is an answer: a made-up time could refuse
// requests whose deadline is easily met.
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

// row is a cell with its key, as it travels and is stored.
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
