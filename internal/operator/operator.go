package operator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/labstack/echo/v4"
)

// Paths of the operators' endpoints.
const (
	PathDump    = "/dump"
	PathWatch   = "/watch"
	PathMetrics = "/metrics"
)

// keepAliveInterval is the interval at which a watch writes an empty line, so that both ends detect a lost connection.
const keepAliveInterval = 5 * time.Second

// Handler returns the HTTP handler of the operators' listener. The result of dump is served as JSON.
func Handler(dump func() any, events *Events, metrics *Metrics) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(PathDump, func(c echo.Context) error { return c.JSONPretty(http.StatusOK, dump(), "  ") })
	e.GET(PathMetrics, echo.WrapHandler(metrics.Handler()))
	e.GET(PathWatch, func(c echo.Context) error { return watch(c, events) })
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/:name", func(c echo.Context) error {
		pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}

// watch writes the events as lines of JSON until the client disconnects.
func watch(c echo.Context, events *Events) error {
	ch, stop := events.Watch()
	defer stop()
	w := c.Response()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	w.Flush()
	t := time.NewTicker(keepAliveInterval)
	defer t.Stop()
	enc := json.NewEncoder(w)
	for {
		var err error
		select {
		case <-c.Request().Context().Done():
			return nil
		case e := <-ch:
			err = enc.Encode(e)
		case <-t.C:
			_, err = w.Write([]byte("\n"))
		}
		if err != nil {
			return err
		}
		w.Flush()
	}
}
