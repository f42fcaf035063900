import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns a map of alternating keys and values. */
    static Map<String, Object> map(Object... entries) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < entries.length; i += 2) map.put((String) entries[i], entries[i + 1]);
        return map;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder out = new StringBuilder("{");
            map.forEach((key, item) -> out.append(out.length() > 1 ? "," : "").append(quote((String) key)).append(':').append(write(item)));
            return out.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder out = new StringBuilder("[");
            for (Object item : list) out.append(out.length() > 1 ? "," : "").append(write(item));
            return out.append(']').toString();
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    private static String quote(String string) {
        return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r") + '"';
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            while (next() != '}') {
                if (next() == ',') at++;
                next();
                String key = string();
                next();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (first == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            while (next() != ']') {
                if (next() == ',') at++;
                list.add(value());
            }
            at++;
            return list;
        }
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && "+-.0123456789abcdefghijklmnopqrstuvwxyzE".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "null" -> null;
            case "true" -> true;
            case "false" -> false;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                    at += 4;
                } else {
                    c = c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }
}
