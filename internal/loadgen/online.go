package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// OnlineLoad describes an open-loop load of online requests: each is sent at its scheduled time,
// whether or not earlier ones have been answered. The delay until the first token counts from the
// scheduled time.
type OnlineLoad struct {
	Model    string
	Requests int
	// Rate is in requests per second. Arrivals are a Poisson process.
	Rate      float64
	MaxTokens int
	// Words is the length of the part of the prompt that all requests share, in words.
	Words int
	Seed  uint64
	// StreamShare is the fraction of requests that are streamed, 0 to 1.
	StreamShare float64
	// AtMostOnceShare is the fraction of requests that may not be repeated, 0 to 1.
	AtMostOnceShare float64
}

// Summary holds the results of an online load.
type Summary struct {
	Correct   int
	Incorrect int
	Failures  map[failure.Kind]int
	// FirstToken and Gap cover correct streamed answers, in microseconds.
	FirstToken *hdrhistogram.Histogram
	Gap        *hdrhistogram.Histogram
	FirstError error
	Elapsed    time.Duration
}

const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// NewHistogram returns a histogram of durations in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func newSummary() *Summary {
	return &Summary{Failures: map[failure.Kind]int{}, FirstToken: NewHistogram(), Gap: NewHistogram()}
}

// SharedPrompt returns a text of the given number of words that depends on the topic only.
func SharedPrompt(topic string, words int) string {
	var text strings.Builder
	for word := 0; word < words; word++ {
		fmt.Fprintf(&text, "%s%d ", topic, word%97)
	}
	return strings.TrimSpace(text.String())
}

// Run sends the load, taking the clients in turn, and waits for all answers.
func (o *OnlineLoad) Run(ctx context.Context, clients []*Client) *Summary {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	summary := newSummary()
	var mutex sync.Mutex
	var pending sync.WaitGroup
	started := time.Now()
	due := started
	for number := 0; number < o.Requests && ctx.Err() == nil; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		request := &Request{
			Model:     o.Model,
			Text:      fmt.Sprintf("%s question %d of %d", SharedPrompt("timetable", o.Words), number, o.Seed),
			MaxTokens: o.MaxTokens,
			Stream:    random.Float64() < o.StreamShare,
			// This random number comes last, and is used up only if AtMostOnceShare is set, so that a
			// seed without that share keeps its load.
			AtMostOnce: o.AtMostOnceShare > 0 && random.Float64() < o.AtMostOnceShare,
		}
		time.Sleep(time.Until(due))
		pending.Add(1)
		go func(client *Client, due time.Time) {
			defer pending.Done()
			sendDelay := time.Since(due)
			reply, err := client.Chat(ctx, request)
			mutex.Lock()
			defer mutex.Unlock()
			summary.record(request, reply, sendDelay, err)
		}(clients[number%len(clients)], due)
	}
	pending.Wait()
	summary.Elapsed = time.Since(started)
	return summary
}

func (s *Summary) record(request *Request, reply *Reply, sendDelay time.Duration, err error) {
	switch {
	case err != nil:
		s.Failures[failure.KindOf(err)]++
		s.recordError(err)
	case reply.Text != request.Expected():
		s.Incorrect++
		s.recordError(errors.Newf("wrong answer to %q: %q", request.Text, reply.Text))
	default:
		s.Correct++
		if !request.Stream {
			return
		}
		// Values outside the histogram's range are far beyond any deadline and are dropped.
		_ = s.FirstToken.RecordValue((reply.FirstToken + sendDelay).Microseconds())
		for _, gap := range reply.Gaps {
			_ = s.Gap.RecordValue(gap.Microseconds())
		}
	}
}

func (s *Summary) recordError(err error) {
	if s.FirstError == nil {
		s.FirstError = err
	}
}

// Failed returns the number of requests without a correct answer.
func (s *Summary) Failed() int {
	failed := s.Incorrect
	for _, count := range s.Failures {
		failed += count
	}
	return failed
}

// String formats the summary as one line.
func (s *Summary) String() string {
	line := fmt.Sprintf("whole=%d wrong=%d elapsed=%s first_token_ms p50=%.1f p95=%.1f p99=%.1f between_tokens_ms p50=%.1f p95=%.1f p99=%.1f",
		s.Correct, s.Incorrect, s.Elapsed.Round(time.Millisecond),
		millis(s.FirstToken, 50), millis(s.FirstToken, 95), millis(s.FirstToken, 99),
		millis(s.Gap, 50), millis(s.Gap, 95), millis(s.Gap, 99))
	for kind, count := range s.Failures {
		line += fmt.Sprintf(" %s=%d", kind, count)
	}
	return line
}

const microsPerMilli = 1000

func millis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / microsPerMilli
}

// WaitServing waits until the fleet behind the gateway has answered a request.
func WaitServing(ctx context.Context, client *Client, model string) error {
	return Retry(ctx, func() error {
		_, err := client.Chat(ctx, &Request{Model: model, Text: "are you there", MaxTokens: 1})
		return err
	})
}
