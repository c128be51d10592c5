package detector

const (
	// outcomeWindow is how many of the latest outcomes of a group are kept. It is small, so that a failure of the whole
	// service raises the common failure rate before it becomes evidence against any one instance.
	outcomeWindow = 128
	// priorOutcomes is the weight, as a number of outcomes, of the prior failure rate healthyFailureRate.
	priorOutcomes = 20
)

// tally has the numbers of all and of failed outcomes in the window.
type tally struct{ all, failed int }

type outcome struct {
	instance int
	failed   bool
}

// outcomes has the latest outcomes of a group.
type outcomes struct {
	ring [outcomeWindow]outcome
	// n is the number of outcomes ever added.
	n           int
	total       tally
	perInstance []tally
}

func (o *outcomes) add(instance int, failed bool) {
	at := &o.ring[o.n%outcomeWindow]
	if o.n >= outcomeWindow {
		o.adjustTallies(*at, -1)
	}
	*at = outcome{instance, failed}
	o.n++
	o.adjustTallies(*at, 1)
}

// adjustTallies adds an outcome to the tallies, or removes it if by is -1.
func (o *outcomes) adjustTallies(e outcome, by int) {
	o.total.all += by
	o.perInstance[e.instance].all += by
	if e.failed {
		o.total.failed += by
		o.perInstance[e.instance].failed += by
	}
}

// failureRateOfOthers returns the failure rate at the other instances. The one with the most failures is left out, so
// that a second unhealthy instance doesn't lower the evidence against the first.
func (o *outcomes) failureRateOfOthers(instance int) float64 {
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
	return (float64(rest.failed) + priorOutcomes*healthyFailureRate) / (float64(rest.all) + priorOutcomes)
}
