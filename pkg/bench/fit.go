package bench

import "math"

// Fit is a linear least-squares fit with the standard errors of its
// coefficients.
type Fit struct {
	// Names are the names of the terms; the first is the constant.
	Names        []string  `json:"names"`
	Coefficients []float64 `json:"coefficients"`
	Errors       []float64 `json:"errors"`
	// Residual is the standard deviation of the residuals.
	Residual float64 `json:"residual"`

	inverse [][]float64
}

// leastSquares fits y to the rows of x. It returns nil unless there are more
// points than terms and the terms are linearly independent.
func leastSquares(names []string, x [][]float64, y []float64) *Fit {
	terms := len(names)
	if len(x) <= terms {
		return nil
	}
	normal := make([][]float64, terms)
	moment := make([]float64, terms)
	for i := range normal {
		normal[i] = make([]float64, terms)
		for k, row := range x {
			moment[i] += row[i] * y[k]
			for j := range normal[i] {
				normal[i][j] += row[i] * row[j]
			}
		}
	}
	inverse := invert(normal)
	if inverse == nil {
		return nil
	}
	f := &Fit{Names: names, inverse: inverse, Coefficients: make([]float64, terms), Errors: make([]float64, terms)}
	for i := range f.Coefficients {
		f.Coefficients[i] = dot(inverse[i], moment)
	}
	squares := 0.0
	for k, row := range x {
		d := y[k] - dot(f.Coefficients, row)
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / float64(len(x)-terms))
	for i := range f.Errors {
		f.Errors[i] = f.Residual * math.Sqrt(max(0, inverse[i][i]))
	}
	return f
}

// predict returns the model's value for one row and its standard error. The
// error assumes that the terms of the model are the right ones.
func (f *Fit) predict(row []float64) (value, stdErr float64) {
	variance := 1.0
	for i := range row {
		variance += row[i] * dot(f.inverse[i], row)
	}
	return dot(f.Coefficients, row), f.Residual * math.Sqrt(max(0, variance))
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// minPivot is the pivot below which a matrix is treated as singular.
const minPivot = 1e-12

// invert returns the inverse by Gauss-Jordan elimination, or nil if the matrix
// is singular.
func invert(m [][]float64) [][]float64 {
	n := len(m)
	a := make([][]float64, n)
	for i := range a {
		a[i] = append(append([]float64(nil), m[i]...), make([]float64, n)...)
		a[i][n+i] = 1
	}
	for i := range a {
		pivot := i
		for r := i + 1; r < n; r++ {
			if math.Abs(a[r][i]) > math.Abs(a[pivot][i]) {
				pivot = r
			}
		}
		a[i], a[pivot] = a[pivot], a[i]
		if math.Abs(a[i][i]) < minPivot {
			return nil
		}
		scale := a[i][i]
		for c := range a[i] {
			a[i][c] /= scale
		}
		for r := range a {
			factor := a[r][i]
			if r == i || factor == 0 {
				continue
			}
			for c := range a[r] {
				a[r][c] -= factor * a[i][c]
			}
		}
	}
	inverse := make([][]float64, n)
	for i := range a {
		inverse[i] = a[i][n:]
	}
	return inverse
}
