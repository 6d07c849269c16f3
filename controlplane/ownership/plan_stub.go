package ownership

type Load []float32

type PlanInput struct {
	Ranges   []Range
	Replicas []Replica
	Keeps    map[string]bool
	Load     Load
	MaxMoves int
}

func PlanMoves(input PlanInput) []Move {
	var moves []Move
	for i, r := range input.Ranges {
		if r.Phase == PhaseGranted && !input.Keeps[r.Owner] && len(moves) < input.MaxMoves {
			moves = append(moves, Move{From: r.From, To: r.To, Target: input.Replicas[i%len(input.Replicas)].ID})
		}
	}
	return moves
}

func ChooseTarget(input PlanInput, from, to uint16) string {
	return input.Replicas[int(from)%len(input.Replicas)].ID
}
