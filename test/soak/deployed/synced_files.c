/// Preloaded into a program: keeps in SYNCED_SHADOW what a power loss would leave of the files in
/// SYNCED_FOLDER. Their contents are copied at each sync of a file; `names` tells, a line each, a
/// content and the name it has. A sync of the folder takes over names that were changed or removed.

#define _GNU_SOURCE
#include <dirent.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

enum { name_size = 320, names_size = 1 << 16 };

static const char* folder;
static int shadow;
static char names[names_size];
static pthread_mutex_t shadow_lock = PTHREAD_MUTEX_INITIALIZER;

static void expect(int holds, const char* what)
{
    if (!holds) {
        perror(what);
        abort();
    }
}

static void write_aside(const char* bytes, size_t size, int flags)
{
    const int to = openat(shadow, "aside", O_WRONLY | O_CREAT | O_CLOEXEC | flags, 0640);
    expect(to >= 0 && write(to, bytes, size) == (ssize_t)size, "write to the shadow");
    close(to);
}

/// A kill leaves the former file or the new one.
static void replace(const char* name)
{
    expect(renameat(shadow, "aside", shadow, name) == 0, "rename in the shadow");
}

static void write_names(void)
{
    write_aside(names, strlen(names), O_TRUNC);
    replace("names");
}

static void add_name(const char* content, const char* name)
{
    const size_t used = strlen(names);
    const int added = snprintf(names + used, names_size - used, "%s %s\n", content, name);
    expect(used + (size_t)added < names_size, "too many names");
}

/// Inodes are used again, and are told apart by their time of birth.
static void name_content(int descriptor, char* content)
{
    struct statx found;
    expect(statx(descriptor, "", AT_EMPTY_PATH, STATX_INO | STATX_BTIME, &found) == 0 &&
               (found.stx_mask & STATX_BTIME) != 0,
           "time of birth");
    snprintf(content, name_size, "%llu-%lld-%u", (unsigned long long)found.stx_ino,
             (long long)found.stx_btime.tv_sec, found.stx_btime.tv_nsec);
}

static void keep_content(int descriptor, const char* content)
{
    char path[name_size];
    char block[1 << 16];
    snprintf(path, sizeof path, "/proc/self/fd/%d", descriptor);
    const int from = open(path, O_RDONLY | O_CLOEXEC);
    expect(from >= 0, "open a synced file");
    write_aside("", 0, O_TRUNC);
    ssize_t size = 0;
    while ((size = read(from, block, sizeof block)) > 0) {
        write_aside(block, (size_t)size, O_APPEND);
    }
    expect(size == 0, "read a synced file");
    close(from);
    replace(content);
}

/// A new file keeps its content with its own sync, under the name that it has then.
static void keep_file(int descriptor, const char* name)
{
    char content[name_size];
    name_content(descriptor, content);
    keep_content(descriptor, content);
    if (strstr(names, content) == NULL) {
        add_name(content, name);
        write_names();
    }
}

/// Takes over all names; files that were never synced are empty, or kept as they are if `is_kept`.
static void keep_folder(int is_kept)
{
    names[0] = '\0';
    DIR* list = opendir(folder);
    for (struct dirent* item = NULL; list != NULL && (item = readdir(list)) != NULL;) {
        char content[name_size];
        const int file = openat(dirfd(list), item->d_name, O_RDONLY | O_CLOEXEC);
        if (item->d_type == DT_REG && file >= 0) {
            name_content(file, content);
            if (is_kept) {
                keep_content(file, content);
            }
            else if (faccessat(shadow, content, F_OK, 0) != 0) {
                write_aside("", 0, O_TRUNC);
                replace(content);
            }
            add_name(content, item->d_name);
        }
        close(file);
    }
    if (list != NULL) {
        closedir(list);
    }
    write_names();
}

__attribute__((constructor)) static void begin(void)
{
    folder = getenv("SYNCED_FOLDER");
    const char* path = getenv("SYNCED_SHADOW");
    expect(folder != NULL && path != NULL, "SYNCED_FOLDER and SYNCED_SHADOW");
    mkdir(path, 0750);
    shadow = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    expect(shadow >= 0, "open the shadow");
    const int known = openat(shadow, "names", O_RDONLY | O_CLOEXEC);
    if (known < 0) {
        keep_folder(1);
        return;
    }
    expect(read(known, names, names_size - 1) >= 0, "read the names");
    close(known);
}

static int keep(int descriptor)
{
    char link[name_size];
    char path[4096];
    struct stat found;
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    const ssize_t size = readlink(link, path, sizeof path - 1);
    if (size < 0 || fstat(descriptor, &found) != 0 || found.st_nlink == 0) {
        return 0;
    }
    path[size] = '\0';
    const size_t prefix = strlen(folder);
    pthread_mutex_lock(&shadow_lock);
    if (strcmp(path, folder) == 0) {
        keep_folder(0);
    }
    else if (strncmp(path, folder, prefix) == 0 && path[prefix] == '/') {
        keep_file(descriptor, path + prefix + 1);
    }
    pthread_mutex_unlock(&shadow_lock);
    return 0;
}

int fsync(int descriptor)
{
    return syscall(SYS_fsync, descriptor) == 0 ? keep(descriptor) : -1;
}

int fdatasync(int descriptor)
{
    return syscall(SYS_fdatasync, descriptor) == 0 ? keep(descriptor) : -1;
}
