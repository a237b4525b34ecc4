package route

import (
	"strings"

	"github.com/pkg/errors"
)

// maxSplitWeight is the maximum sum of a split's weights; the bound prevents an
// overflow.
const maxSplitWeight = 1 << 30

// Check returns an error if the document is not a valid configuration.
func (d *Document) Check() error {
	services, err := d.checkServices()
	if err != nil {
		return err
	}
	if err := d.checkTeams(); err != nil {
		return err
	}
	seen := make(map[[2]string]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		key := [2]string{r.Host, r.Prefix}
		if other, taken := seen[key]; taken {
			return errors.Errorf("routes %q and %q have the same host and prefix", other, r.Name)
		}
		seen[key] = r.Name
	}
	return nil
}

func (d *Document) checkServices() (map[string]bool, error) {
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return nil, errors.Errorf("service name %q is empty or used twice", s.Name)
		}
		services[s.Name] = true
	}
	return services, nil
}

func (r *Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	switch r.Kind {
	case KindSafe, KindUnsafe, KindStream:
	default:
		return errors.Errorf("kind %q is none of safe, unsafe, stream", r.Kind)
	}
	if r.Timeout <= 0 {
		return errors.New("the timeout is not above 0")
	}
	return r.checkSplit(services)
}

func (r *Route) checkSplit(services map[string]bool) error {
	total := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return errors.Errorf("service %q is not known", share.Service)
		}
		if share.Weight < 0 || share.Weight > maxSplitWeight-total {
			return errors.Errorf("weight %d of service %q is out of range", share.Weight, share.Service)
		}
		total += share.Weight
	}
	if total == 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}
