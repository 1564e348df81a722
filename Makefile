# doorstep: build, demo, tests and checks. See README.md.
BIN := bin
PROGRAMS := doorstepd doorstep doorstep-standin doorstep-sim doorstep-compare

.PHONY: build demo test check generate clean

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

demo: build
	BIN=$(BIN) scripts/demo.sh

test:
	go test ./...

check: build
	@test -z "$$(gofmt -l api cmd internal platform)" || { echo "gofmt would change:"; gofmt -l api cmd internal platform; exit 1; }
	@for patch in scripts/proof/*.patch bench/ablation/*.patch; do git apply --check $$patch || { echo "$$patch no longer applies"; exit 1; }; done
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml -set_exit_status ./cmd/... ./internal/... ./platform/...
	$(MAKE) test

# generate needs protoc; its result is committed, so that no build needs it.
generate:
	@mkdir -p $(BIN)
	go build -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=$(BIN)/protoc-gen-go --go_out=. --go_opt=module=github.com/doorstep/doorstep api/doorstep/v1/operators.proto api/doorstep/v1/batch.proto

clean:
	rm -rf $(BIN)

.PHONY: prove
# prove breaks each mechanism in a scratch copy and expects the simulator to see it.
prove:
	scripts/prove.sh

# soak runs the real programs under faults from outside with a fresh seed, after the seeds
# that ever failed (docs/SOAK.md). SOAK_FOR is how long each runs.
.PHONY: soak
soak: build
	@for seed in $$(sed 's/#.*//' bench/soak-seeds.txt); do $(BIN)/doorstep-standin soak --seed $$seed --for $(or $(SOAK_FOR),60s) || exit 1; done
	$(BIN)/doorstep-standin soak --for $(or $(SOAK_FOR),60s)
