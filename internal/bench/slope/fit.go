package slope

import "gonum.org/v1/gonum/stat"

// Point is a value measured at a size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is the least-squares line through points.
type Fit struct {
	Slope     float64 // of the value, for each unit of size
	Intercept float64
	R2        float64 // coefficient of determination
}

// Line returns the least-squares line through at least two points of different sizes.
func Line(points []Point) Fit {
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, point := range points {
		sizes[i], values[i] = point.Size, point.Value
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	r2 := 1.0 // equal values lie on the line
	if stat.Variance(values, nil) > 0 {
		r2 = stat.RSquared(sizes, values, nil, intercept, slope)
	}
	return Fit{Slope: slope, Intercept: intercept, R2: r2}
}
