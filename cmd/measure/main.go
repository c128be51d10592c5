// Command measure compares the library's load balancing and rate limiting with simpler policies. It simulates the
// first two deployments in virtual time and prints a table of results for each.
package main

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	For      time.Duration `default:"20s" help:"Virtual time of each run."`
	Seeds    int           `default:"2" help:"Runs of each scenario and policy, with the seeds from 1."`
	Scenario string        `help:"Only scenarios whose name contains this."`
	Policy   string        `help:"Only policies whose name contains this."`
	Long     int           `help:"Instead of the table: requests sent through scenarios without a sick instance, to count false ejections."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("measure"), kong.Description("Compare decisions in virtual time."))
	if o.Long > 0 {
		countFalseEjections(o)
		return
	}
	fmt.Printf("%s per run, seeds 1 to %d\n", o.For, o.Seeds)
	for _, d := range deployments {
		fmt.Printf("\n%s: %d VMs, %d instances with %d slots, %d failure domains, load %.0f%% of the slots\n",
			d.name, d.vms, d.instances, d.slots, d.domains, 100*offeredLoad)
		fmt.Println(header)
		for _, sc := range scenarios {
			if !strings.Contains(sc.name, o.Scenario) {
				continue
			}
			for _, line := range rows(o, d, sc) {
				fmt.Println(line)
			}
		}
	}
}

// rows simulates a scenario under each policy, several policies in parallel, and returns one table line per policy.
func rows(o options, d deployment, sc scenario) []string {
	lines := make([]string, len(policies))
	slots := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i, p := range policies {
		if !strings.Contains(p.name, o.Policy) {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var total result
			for seed := range o.Seeds {
				total.add(simulate(d, sc, p, o.For, uint64(seed+1)))
			}
			lines[i] = total.row(sc, p.name)
		})
	}
	wg.Wait()
	var kept []string
	for _, l := range lines {
		if l != "" {
			kept = append(kept, l)
		}
	}
	return kept
}

// countFalseEjections counts false ejections over many requests in the scenarios without a faulty instance.
func countFalseEjections(o options) {
	var healthy []scenario
	for _, sc := range scenarios {
		if sc.healthy {
			healthy = append(healthy, sc)
		}
	}
	d := deployments[0]
	duration := time.Duration(float64(o.Long) / float64(len(healthy)) / d.requestRate() * float64(time.Second))
	totals := make([]result, len(healthy))
	var wg sync.WaitGroup
	for i, sc := range healthy {
		wg.Go(func() { totals[i] = simulate(d, sc, policies[0], duration, 1) })
	}
	wg.Wait()
	fmt.Println(header)
	var all result
	for i, sc := range healthy {
		fmt.Println(totals[i].row(sc, policies[0].name))
		all.add(totals[i])
	}
	fmt.Printf("%d requests, %d healthy instances ejected\n", all.requests, all.falseEjections)
}
