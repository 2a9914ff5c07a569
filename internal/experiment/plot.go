package experiment

import (
	"fmt"
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	lineWidth  = 1.5 * vg.Millimeter / 2
)

// lossDashes draws the runs in which a drill loses runners.
var lossDashes = []vg.Length{2 * vg.Millimeter, vg.Millimeter}

var colours = map[Policy]color.Color{
	Product:      color.RGBA{R: 190, G: 30, B: 60, A: 255},
	WithoutHomes: color.RGBA{R: 120, G: 120, B: 120, A: 255},
	Reference:    color.RGBA{R: 30, G: 90, B: 170, A: 255},
}

var silenceColours = map[SilencePolicy]color.Color{
	SilenceListen:   color.RGBA{R: 120, G: 120, B: 120, A: 255},
	SilenceCancel:   color.RGBA{R: 190, G: 30, B: 60, A: 255},
	SilenceBeside:   color.RGBA{R: 30, G: 90, B: 170, A: 255},
	SilenceEvidence: color.RGBA{R: 30, G: 140, B: 90, A: 255},
}

// Plot draws the share of the possible worth that the requests of each window earned, one
// line per result. The file's extension selects the format.
func Plot(path string, results []*Result) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of worth earned"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for i, r := range results {
		if i == 0 {
			p.Title.Text = r.Scenario
		}
		line, err := plotter.NewLine(points(r))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = colours[r.Policy]
		if r.Silence.Policy != "" {
			line.Color = silenceColours[r.Silence.Policy]
		}
		line.Width = lineWidth
		label := fmt.Sprintf("%s, seed %d: %.3f", r.Policy, r.Seed, r.Whole.Share())
		if r.Silence.Policy != "" {
			label += fmt.Sprintf(", at silence %s", r.Silence.Policy)
		}
		if r.LostRunners > 0 {
			line.Dashes = lossDashes
			label += fmt.Sprintf(", %.0f%% of the runners lost", 100*r.LostRunners)
		}
		p.Add(line)
		p.Legend.Add(label, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

func points(r *Result) plotter.XYs {
	var xys plotter.XYs
	for i, window := range r.Windows {
		xys = append(xys, plotter.XY{X: float64(i) * windowLength.Seconds(), Y: window.Share()})
	}
	return xys
}
