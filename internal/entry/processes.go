package entry

import (
	"context"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
)

// processCheck returns the question whether a runner's process still answers. A model engine reports the
// start of its process. Plain runners give no reports; the answer to a health check names their instance.
func processCheck(engines adapters.Engines) serve.SameProcess {
	return func(ctx context.Context, service *site.Service, runner *site.Runner) error {
		if service.Engine != nil && runner.StartedMS != 0 {
			report, err := engines.Report(ctx, runner.Address)
			return compareProcesses(err, report.StartedMS == runner.StartedMS, report.StartedMS == 0)
		}
		instance, err := engines.Instance(ctx, runner.Address, service.HealthCheckPath())
		return compareProcesses(err, instance == runner.Instance, instance == "")
	}
}

// compareProcesses returns the outcome of a question about a process that failed with err, or was answered by
// the same process, or did not tell which one answers.
func compareProcesses(err error, same, unknown bool) error {
	switch {
	case err != nil:
		return err
	case unknown:
		return serve.ErrProcessUnknown
	case !same:
		return serve.ErrAnotherProcess
	default:
		return nil
	}
}
