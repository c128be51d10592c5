package picker

// Budget is one VM's share of a service's budget of retries. Each VM keeps its share by itself: the sum
// over all VMs is within the ratio of all requests and the slack.
type Budget struct {
	tokens float64
	most   float64
	ratio  float64
}

const (
	// ratioShare is the part of the allowed ratio that is used; the rest is for requests that are
	// counted in another window than their retries.
	ratioShare = 0.9
	// slackShare is the part of the allowed slack that the VMs divide; the rest is for VMs that restart
	// and begin with a full share.
	slackShare = 0.6
)

// NewBudget returns the budget of one of n VMs.
func NewBudget(ratio, slack float64, n int) *Budget {
	b := &Budget{ratio: ratio * ratioShare}
	b.Resize(slack, n)
	b.tokens = b.most
	return b
}

// Resize divides the slack among n VMs.
func (b *Budget) Resize(slack float64, n int) {
	b.most = slack * slackShare / float64(max(1, n))
	b.tokens = min(b.tokens, max(1, b.most))
}

// Request adds what a caller's request brings.
func (b *Budget) Request() { b.tokens = min(max(1, b.most), b.tokens+b.ratio) }

// Take takes one retry, and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries there are.
func (b *Budget) Left() float64 { return b.tokens }
