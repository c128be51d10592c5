package detector

const (
	// outcomeWindow is how many of the latest outcomes of a group are remembered. It is short,
	// so that a failure of the whole service shows before it counts against any instance.
	outcomeWindow = 128
	// priorOutcomes is the weight of the share wellFailure before any outcome is known.
	priorOutcomes = 20
)

// tally counts outcomes in the window.
type tally struct{ all, failed int }

type outcome struct {
	instance int
	failed   bool
}

// outcomes remembers the latest outcomes of a group.
type outcomes struct {
	ring        [outcomeWindow]outcome
	n           int
	total       tally
	perInstance []tally
}

func (o *outcomes) add(instance int, failed bool) {
	at := &o.ring[o.n%outcomeWindow]
	if o.n >= outcomeWindow {
		o.count(*at, -1)
	}
	*at = outcome{instance, failed}
	o.n++
	o.count(*at, 1)
}

func (o *outcomes) count(e outcome, by int) {
	o.total.all += by
	o.perInstance[e.instance].all += by
	if e.failed {
		o.total.failed += by
		o.perInstance[e.instance].failed += by
	}
}

// others returns the share of failures at the other instances. The one that fails most is
// left out, so that a second sick instance does not excuse the first.
func (o *outcomes) others(instance int) float64 {
	worst := -1
	for i, t := range o.perInstance {
		if i != instance && (worst < 0 || t.failed > o.perInstance[worst].failed) {
			worst = i
		}
	}
	rest := o.total
	for _, i := range []int{instance, worst} {
		if i >= 0 {
			rest.all -= o.perInstance[i].all
			rest.failed -= o.perInstance[i].failed
		}
	}
	return (float64(rest.failed) + priorOutcomes*wellFailure) / (float64(rest.all) + priorOutcomes)
}
