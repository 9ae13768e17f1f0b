package slope

import "gonum.org/v1/gonum/stat"

// Point is a value measured at a size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a least-squares line.
type Fit struct {
	Slope     float64 // change of the value per unit of size
	Intercept float64
	R2        float64 // coefficient of determination
}

// FitLine returns the least-squares line through the points, of which at least two must differ in size.
func FitLine(points []Point) Fit {
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, point := range points {
		sizes[i], values[i] = point.Size, point.Value
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	r2 := 1.0 // equal values fit a flat line exactly
	if stat.Variance(values, nil) > 0 {
		r2 = stat.RSquared(sizes, values, nil, intercept, slope)
	}
	return Fit{Slope: slope, Intercept: intercept, R2: r2}
}
