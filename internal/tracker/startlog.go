package tracker

import "github.com/jacinthproxy/jacinthproxy/internal/logger"

// Lines a second, and bursts, of what is normal at the start of a fleet and comes from all of its VMs or instances at once:
// VMs that are added and become ready, new instances, and their first statements.
const (
	membersPerSecond    = 2
	membersBurst        = 20
	instancesPerSecond  = 20
	instancesBurst      = 100
	statementsPerSecond = 5
	statementsBurst     = 20
)

// startLog bounds the log lines that come from all VMs or instances at a start.
type startLog struct {
	members, instances, statements *logger.Limiter
}

func newStartLog() startLog {
	return startLog{
		members:    logger.NewLimiter(membersPerSecond, membersBurst),
		instances:  logger.NewLimiter(instancesPerSecond, instancesBurst),
		statements: logger.NewLimiter(statementsPerSecond, statementsBurst),
	}
}

// OmittedLines returns the number of log lines of a start that were left out.
func (t *Tracker) OmittedLines() int64 {
	l := t.startLog
	return l.members.Omitted() + l.instances.Omitted() + l.statements.Omitted()
}
