package work

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// fileAnswer is the answer to a committed file.
type fileAnswer = batch.File

// putFile takes an upload: its chunks are stored on a quorum as they come,
// then the file is recorded.
func (s *Service) putFile(ctx context.Context, stream *wire.Stream) error {
	var open rpc.FilePutOpen
	if err := stream.Recv(&open); err != nil {
		return outcome.New(outcome.BadFrame, outcome.NotRun, "read upload: %v", err)
	}
	file := batch.File{ID: open.ID, Workspace: open.Workspace, Name: open.Name, Purpose: open.Purpose}
	out := newChunker(s.payloads)
	for {
		var chunk rpc.FileChunk
		err := stream.Recv(&chunk)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return outcome.New(outcome.BadFrame, outcome.NotRun, "read upload: %v", err)
		}
		if err := out.write(ctx, chunk.Data); err != nil {
			return err
		}
		if out.bytes > batch.MaxFileBytes {
			return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "file exceeds %d bytes", int64(batch.MaxFileBytes))
		}
	}
	contents, err := out.finish(ctx)
	if err != nil {
		return err
	}
	file.Chunks, file.Bytes = contents.Chunks, contents.Bytes
	committed, err := s.commitFile(ctx, &rpc.FileCommit{File: file})
	if err != nil {
		return err
	}
	return stream.Send(committed)
}

func (s *Service) leadCommitFile(ctx context.Context, request *rpc.FileCommit) (*fileAnswer, error) {
	g := s.groupOf(request.File.Workspace)
	result, err := g.execute(ctx, &batch.Command{FilePut: &batch.FilePut{File: request.File}})
	if err != nil {
		return nil, err
	}
	s.log.Info("file_stored", "file", result.File.ID, "workspace", result.File.Workspace, "bytes", result.File.Bytes)
	return result.File, nil
}

func (s *Service) leadDeleteFile(ctx context.Context, request *rpc.FileRef) (*rpc.Ack, error) {
	g := s.groupOf(request.Workspace)
	_, err := g.execute(ctx, &batch.Command{FileDelete: &batch.FileDelete{Workspace: request.Workspace, ID: request.ID}})
	if err != nil {
		return nil, err
	}
	return &rpc.Ack{}, nil
}

// getFile sends the contents of a file in chunks.
func (s *Service) getFile(ctx context.Context, stream *wire.Stream) error {
	var ref rpc.FileRef
	if err := stream.Recv(&ref); err != nil {
		return outcome.New(outcome.BadFrame, outcome.NotRun, "read request: %v", err)
	}
	file, err := s.fileInfo(ctx, &ref)
	if err != nil {
		return err
	}
	for _, chunk := range file.Chunks {
		data, err := s.payloads.Read(ctx, chunk)
		if err != nil {
			return err
		}
		if err := stream.Send(&rpc.FileChunk{Data: data}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) fileInfo(ctx context.Context, request *rpc.FileRef) (*batch.File, error) {
	g := s.groupOf(request.Workspace)
	if err := g.confirm(ctx); err != nil {
		return nil, err
	}
	var file *batch.File
	var err error
	g.read(func(m *batch.Machine) { file, err = m.File(request.Workspace, request.ID) })
	return file, err
}

func (s *Service) listFiles(ctx context.Context, request *rpc.ListRequest) (*rpc.FileList, error) {
	g := s.groupOf(request.Workspace)
	if err := g.confirm(ctx); err != nil {
		return nil, err
	}
	var list rpc.FileList
	var err error
	g.read(func(m *batch.Machine) {
		var files []*batch.File
		files, list.More, err = m.Files(request.Workspace, request.After, request.Limit)
		for _, f := range files {
			short := *f
			short.Chunks = nil
			list.Files = append(list.Files, &short)
		}
	})
	return &list, err
}
