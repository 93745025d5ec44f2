package plan

import "strings"

const (
	// refusalScore is the score of an answer that refuses the request.
	refusalScore = 0.1
	// echoScore is the score of an answer that only repeats the prompt.
	echoScore = 0.2
	// shortScore is the score of a one-word answer to a long prompt.
	shortScore = 0.6
	// longPromptWords is the minimum length of a long prompt.
	longPromptWords = 60
	// refusalWindow is the number of leading bytes searched for a refusal.
	refusalWindow = 120
	// repetitionWords is the length of the word sequences compared, and
	// minRepetitionWords the minimum length of an answer to be tested.
	repetitionWords    = 3
	minRepetitionWords = 12
)

// refusals are typical phrases of refusals in the languages of the deployments.
var refusals = []string{
	"i'm sorry", "i am sorry", "i cannot", "i can't", "i'm unable", "i am unable", "as an ai",
	"je suis désolé", "désolé, je", "je ne peux pas", "en tant qu'ia",
}

// Heuristic implements Planner. It returns the lowest score of the checks for
// length, echo, refusal and repetition, and updates the acceptance rate.
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

// distinctShare returns twice the share of distinct word sequences, at most 1:
// text in which up to half of the sequences are repeats is normal, for example a
// refrain.
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
