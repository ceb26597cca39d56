.PHONY: build test lint

build:
	go build -o bin/currantturn ./cmd/currantturn

test:
	go test -race -count=1 ./...

lint:
	go tool gofumpt -w .
	go tool revive -config revive.toml -set_exit_status ./...
