package plan

import "strings"

const (
	// refusalScore is the result for an answer that refuses the request.
	refusalScore = 0.1
	// echoScore is the result for an answer that only repeats the prompt.
	echoScore = 0.2
	// shortScore is the result for a one-word answer to a long prompt.
	shortScore = 0.6
	// longPromptWords is the length from which a prompt counts as long.
	longPromptWords = 60
	// refusalWindow is the number of bytes in which a refusal starts.
	refusalWindow = 120
	// repetitionWords is the length of the repeated sequences looked for, and
	// minRepetitionWords the length from which an answer is tested.
	repetitionWords    = 3
	minRepetitionWords = 12
)

// refusals are openings of refusals in the languages of the deployments.
var refusals = []string{
	"i'm sorry", "i am sorry", "i cannot", "i can't", "i'm unable", "i am unable", "as an ai",
	"je suis désolé", "désolé, je", "je ne peux pas", "en tant qu'ia",
}

// Heuristic implements Planner: the least of the checks for length, refusal
// and repetition. It also learns how many answers pass.
func (s *Service) Heuristic(prompt, answer string) float64 {
	score := heuristic(prompt, answer)
	passed := 0.0
	if score >= heuristicThreshold {
		passed = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptanceRate += acceptanceWeight * (passed - s.acceptanceRate)
	return score
}

func heuristic(prompt, answer string) float64 {
	text := strings.ToLower(strings.TrimSpace(answer))
	if text == "" {
		return 0
	}
	score := 1.0
	if text == strings.ToLower(strings.TrimSpace(prompt)) {
		score = echoScore
	}
	opening := strings.ReplaceAll(text[:min(len(text), refusalWindow)], "’", "'")
	for _, phrase := range refusals {
		if strings.Contains(opening, phrase) {
			score = min(score, refusalScore)
		}
	}
	words := strings.Fields(text)
	if len(words) < 2 && len(strings.Fields(prompt)) >= longPromptWords {
		score = min(score, shortScore)
	}
	return min(score, distinctShare(words))
}

// distinctShare is the share of distinct word sequences, doubled and at most 1: text
// that repeats up to half of its sequences is normal, for example a refrain.
func distinctShare(words []string) float64 {
	if len(words) < minRepetitionWords {
		return 1
	}
	seen := make(map[string]bool, len(words))
	n := len(words) - repetitionWords + 1
	for i := range n {
		seen[strings.Join(words[i:i+repetitionWords], " ")] = true
	}
	return min(1, 2*float64(len(seen))/float64(n))
}
